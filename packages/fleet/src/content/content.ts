import type { ContentHash } from './content-hash.js';

/** The source of a configuration with its hash. */
export interface Content {
  hash: ContentHash;
  source: string;
}
