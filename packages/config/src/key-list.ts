import { z } from 'zod';

const shortestKey = 16;

/** Schema of the keys of peers or operators; several allow rotation. */
export const keyList = z.array(z.string().min(shortestKey)).min(1);
