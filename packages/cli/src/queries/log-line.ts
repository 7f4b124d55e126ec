/** One line of a router's structured log. */
export interface LogLine {
  /** Wall time in milliseconds since the epoch. */
  time: number;
  process: string;
  event: string;
  request?: string;
  endpoint?: string;
  sends?: { endpoint: string }[];
  [field: string]: unknown;
}
