import type { Id } from './id.js';

/** Hash of an account and the content of a request without ids. */
export type Fingerprint = Id<'Fingerprint'>;
