/** One configuration change and its outcome for the operator who sent it. */
export interface ChangeOperation {
  changeId: string;
  expectedVersion: number;
  /** Virtual times of the first send and of the answer, if any. */
  sentAt: number;
  answeredAt?: number;
  /** `accepted` and `conflict` come with a version; a `notRun` change must never take effect. */
  outcome: 'accepted' | 'conflict' | 'notRun' | 'unknown';
  version?: number;
}
