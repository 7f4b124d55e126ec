import type { ContentHash } from '../content/content-hash.js';
import type { Patch } from '../content/patch.js';

/** A change of the configuration in the log; it applies only to the configuration it was built on. */
export interface PatchConfig {
  type: 'patchConfig';
  version: number;
  hash: ContentHash;
  baseHash: ContentHash;
  patch: Patch;
}
