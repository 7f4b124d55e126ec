import type { ContentHash } from './content-hash.js';
import type { PatchSpan } from './patch-span.js';

/** A part of a patch that turns one content into another. */
export interface ContentPart {
  hash: ContentHash;
  baseHash: ContentHash;
  /** Position of `text` in the text of the patch, in characters. */
  offset: number;
  /** Length of the text of the whole patch, in characters. */
  totalLength: number;
  text: string;
  /** The spans of the patch, in the part at offset 0. */
  spans?: PatchSpan[];
}
