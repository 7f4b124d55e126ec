/** A caller's HTTP request, read whole. */
export interface CallerRequest {
  method: string;
  /** Path with query. */
  path: string;
  /** Names in lower case. */
  headers: Record<string, string>;
  body: Uint8Array;
}
