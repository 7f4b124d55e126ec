/** The answer to a caller; if the body throws, the connection is aborted. */
export interface CallerReply {
  status: number;
  headers: Record<string, string>;
  body: AsyncIterable<Uint8Array>;
}
