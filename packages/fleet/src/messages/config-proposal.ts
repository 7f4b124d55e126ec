import type { ContentHash } from '../content/content-hash.js';
import type { ContentPart } from '../content/content-part.js';

/** Proposes a configuration; its content follows in parts if the leader does not have it. */
export interface ConfigProposal {
  type: 'putConfig';
  version: number;
  hash: ContentHash;
  /** The configuration that the sender holds, as a base for the parts. */
  heldHash: ContentHash;
  /** The part that the leader's last reply asked for. */
  part?: ContentPart;
}
