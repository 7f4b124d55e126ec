/** Whether a request may run more than once; a stream may when it can be resumed. */
export type RetryPolicy = 'idempotent' | 'nonIdempotent';
