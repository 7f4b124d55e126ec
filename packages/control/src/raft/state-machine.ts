import type { CommandResult } from '@vanillarelay/core';
import type { LogEntry } from '../log/log-entry.js';

/** What the log drives; it must do the same on every node. */
export interface StateMachine {
  apply(entry: LogEntry): CommandResult;
  /** The whole state as parts of JSON, as it is at the call; encoded while it is read. */
  encode(): Iterable<string>;
  /** Replaces the whole state. */
  install(parts: string[]): void;
}
