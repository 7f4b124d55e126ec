import type { CommandResult } from '@vanillarelay/core';
import type { LogEntry } from '../log/log-entry.js';

/** Deterministic state machine that applies the log. */
export interface StateMachine {
  /** Must have the same effect and result on every node. */
  apply(entry: LogEntry): CommandResult;
  /** The complete state at the time of the call, in JSON parts that are encoded when read. */
  encode(): Iterable<string>;
  /** Replaces the complete state. */
  install(parts: string[]): void;
}
