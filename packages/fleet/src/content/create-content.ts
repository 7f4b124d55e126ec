import { hashSha256, toId } from '@vanillarelay/core';
import type { Content } from './content.js';
import type { ContentHash } from './content-hash.js';
import { emptyContent } from './empty-content.js';

/** Length of a hash in hexadecimal digits, 128 bits. */
const hashLength = 32;

/** Creates the content of a source. */
export function createContent(source: string): Content {
  if (source === '') return emptyContent;
  return { hash: toId<ContentHash>(hashSha256(source).slice(0, hashLength)), source };
}
