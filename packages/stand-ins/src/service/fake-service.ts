import type { EndpointClient } from '@vanillarelay/core';

/** A fake plain service that counts its executions. */
export interface FakeService extends EndpointClient {
  /** Executions by request identity. */
  listExecutions(): Record<string, number>;
  readRunning(): number;
}
