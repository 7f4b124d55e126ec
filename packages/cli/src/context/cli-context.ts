import type { OperatorSettings } from '@vanillarelay/config';
import type { ChangeId } from '@vanillarelay/core';
import type { OperatorClient } from '@vanillarelay/daemon';
import type { ControlAnswer } from './control-answer.js';
import type { ControlCall } from './control-call.js';

/** External operations that commands and queries use; tests pass their own. */
export interface CliContext {
  openOperator: (settings: OperatorSettings) => OperatorClient;
  /** Calls the control API of a router daemon. */
  callControl: (address: string, call: ControlCall) => Promise<ControlAnswer>;
  /** Writes a line to the standard output. */
  print: (text: string) => void;
  /** Reads a text file; rejects with `unreadableFile`. */
  loadText: (path: string) => Promise<string>;
  writeText: (path: string, text: string) => Promise<void>;
  createChangeId: () => ChangeId;
  wait: (ms: number) => Promise<void>;
}
