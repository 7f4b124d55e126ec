import type { OutgoingHttpHeaders } from 'node:http';

/** The connection to the caller of one request. */
export interface Caller {
  /** Aborted when the caller has disconnected. */
  signal: AbortSignal;
  /** Whether the status and headers of an answer were sent. */
  hasSentHead(): boolean;
  sendHead(status: number, headers: OutgoingHttpHeaders | string[]): void;
  /** Resolves when the caller's connection accepts more data, or when `signal` is aborted. */
  sendChunk(bytes: Buffer, signal?: AbortSignal): Promise<void>;
  /** Ends the answer; calls `notifySent` when nothing of it is left in memory. */
  finish(bytes?: Buffer, notifySent?: () => void): void;
  /** Destroys the connection, so that a partial answer cannot look complete. */
  abort(): void;
}
