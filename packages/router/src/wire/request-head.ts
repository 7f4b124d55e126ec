/** The first lines of a caller's request. */
export interface RequestHead {
  method: string;
  /** Path and query, as they came. */
  path: string;
  host: string;
  /** Names and values by turns, as they came. */
  rawHeaders: string[];
}
