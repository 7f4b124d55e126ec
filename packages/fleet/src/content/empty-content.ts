import { toId } from '@vanillarelay/core';
import type { Content } from './content.js';
import type { ContentHash } from './content-hash.js';

/** What a daemon holds before its first configuration; every daemon has it as a base. */
export const emptyContent: Content = { hash: toId<ContentHash>(''), source: '' };
