/** One configuration change as the operator who sent it saw it. */
export interface ChangeOperation {
  changeId: string;
  expectedVersion: number;
  /** Virtual time of the first send, and of the answer if there was one. */
  sentAt: number;
  answeredAt?: number;
  /** `accepted` and `conflict` with the version they named; `notRun`: refused, never to take effect. */
  outcome: 'accepted' | 'conflict' | 'notRun' | 'unknown';
  version?: number;
}
