import type { DataCentreId, EndpointId } from '@vanillarelay/core';

/** An endpoint that may receive a request, with the data that placement uses. */
export interface Candidate {
  id: EndpointId;
  dataCentre: DataCentreId;
  slots: number;
  /** Estimated number of requests in flight at the endpoint. */
  load: number;
  /** Share of the prompts that it accepts, because its request rate is limited; absent without a limit. */
  promptShare?: number;
  /**
   * Why the endpoint is used only when healthy ones are overloaded, or, if it refuses connections,
   * only when there is no other; absent when it is healthy.
   */
  healthIssue?: 'silent' | 'unreachable' | 'failing' | 'waiting' | 'memory' | 'refusing';
}
