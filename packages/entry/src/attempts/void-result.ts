import type { RecordView } from '@vanillarelay/core';

/** What the log answered to a void. */
export interface VoidResult {
  /** Whether the attempt has not run and never will. */
  isVoided: boolean;
  /** Set when something has run, or may have run, under the key. */
  record?: Pick<RecordView, 'bodyHash' | 'answer'>;
}
