import type { CommandResult } from '@vanillarelay/core';
import type { LogEntry } from '../log/log-entry.js';

/** State machine that applies the log; it must do the same on every node. */
export interface StateMachine {
  apply(entry: LogEntry): CommandResult;
  /** The whole state as of the call, in JSON parts that are encoded as they are read. */
  encode(): Iterable<string>;
  /** Replaces the whole state. */
  install(parts: string[]): void;
}
