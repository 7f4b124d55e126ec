import { z } from 'zod';

const minKeyLength = 16;

/** Schema of the accepted keys of peers or operators; a list, so that keys can be rotated. */
export const keyList = z.array(z.string().min(minKeyLength)).min(1);
