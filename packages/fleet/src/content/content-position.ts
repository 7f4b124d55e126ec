import type { ContentHash } from './content-hash.js';
import type { IncomingPosition } from './incoming-position.js';

/** What a daemon holds of the configurations. */
export interface ContentPosition {
  heldHash: ContentHash;
  /** The content that it is receiving. */
  incoming?: IncomingPosition;
}
