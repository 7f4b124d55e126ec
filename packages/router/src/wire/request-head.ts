/** The request line and headers of a caller's request. */
export interface RequestHead {
  method: string;
  /** Path and query, as received. */
  path: string;
  host: string;
  /** Headers as received; names and values alternate. */
  rawHeaders: string[];
}
