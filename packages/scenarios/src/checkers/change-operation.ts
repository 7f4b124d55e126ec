/** One configuration change and its outcome for the operator who sent it. */
export interface ChangeOperation {
  changeId: string;
  expectedVersion: number;
  /** Monotonic time of the first send, in milliseconds. */
  sentAt: number;
  /** Monotonic time of the answer in milliseconds; undefined if there was none. */
  answeredAt?: number;
  /** `accepted` and `conflict` come with a version; a `notRun` change must never take effect. */
  outcome: 'accepted' | 'conflict' | 'notRun' | 'unknown';
  version?: number;
}
