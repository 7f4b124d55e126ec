/** How the end of an answer's body is found. */
export type BodyFraming =
  /** The body is sent in chunks. */
  | { type: 'chunked' }
  /** The head gives its length, or the body ends with the connection, or there is none. */
  | { type: 'unchunked' }
  /** The head contradicts itself. */
  | { type: 'invalid'; fault: string };
