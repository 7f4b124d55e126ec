import type { OutgoingHttpHeaders } from 'node:http';

/** The caller's side of one exchange. */
export interface Caller {
  /** Aborted when the caller has left. */
  signal: AbortSignal;
  /** Whether the head of an answer was sent. */
  isBegun(): boolean;
  sendHead(status: number, headers: OutgoingHttpHeaders | string[]): void;
  /** Resolves when the caller's connection takes more. */
  sendPart(bytes: Buffer): Promise<void>;
  finish(bytes?: Buffer): void;
  /** Breaks the connection, so that an answer cannot look complete. */
  breakOff(): void;
}
