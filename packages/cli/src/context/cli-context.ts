import type { OperatorSettings } from '@vanillarelay/config';
import type { ChangeId } from '@vanillarelay/core';
import type { OperatorClient } from '@vanillarelay/daemon';

/** What commands and queries use of the outside; tests pass their own. */
export interface CliContext {
  openOperator: (settings: OperatorSettings) => OperatorClient;
  /** Writes a line to the standard output. */
  print: (text: string) => void;
  /** The text of a file; rejects with `unreadableFile`. */
  loadText: (path: string) => Promise<string>;
  writeText: (path: string, text: string) => Promise<void>;
  createChangeId: () => ChangeId;
  /** Waits in milliseconds. */
  wait: (ms: number) => Promise<void>;
}
