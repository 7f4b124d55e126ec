import type { ContentHash } from './content-hash.js';
import type { ContentPart } from './content-part.js';
import type { Patch } from './patch.js';

/**
 * Length of the text in one part, in characters. It bounds how long a message occupies a slow link,
 * so that calls keep their time limits and small messages pass.
 */
const partLength = 16 * 1024;

interface PartOptions {
  hash: ContentHash;
  baseHash: ContentHash;
  patch: Patch;
  offset: number;
}

/** Builds the part of a patch at an offset. */
export function buildContentPart({ hash, baseHash, patch, offset }: PartOptions): ContentPart {
  return {
    ...{ hash, baseHash, offset },
    totalLength: patch.text.length,
    text: patch.text.slice(offset, offset + partLength),
    ...(offset === 0 ? { spans: patch.spans } : {}),
  };
}
