/** A request that began to run at an endpoint. */
export interface RunEvent {
  at: number;
  endpoint: string;
  dataCentre: string;
  /** `idempotency-key`, or empty. */
  key: string;
}
