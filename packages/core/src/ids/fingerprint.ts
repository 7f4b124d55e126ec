import type { Id } from './id.js';

/** Hash of an account and a request content without ids. */
export type Fingerprint = Id<'Fingerprint'>;
