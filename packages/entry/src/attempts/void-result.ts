import type { RecordView } from '@vanillarelay/core';

/** The result of voiding an attempt. */
export interface VoidResult {
  /** Whether the attempt has not run and never will. */
  isVoided: boolean;
  /** Set when a request with the key has run or may have run. */
  record?: Pick<RecordView, 'bodyHash' | 'answer'>;
}
