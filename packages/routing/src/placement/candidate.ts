import type { DataCentreId, EndpointId } from '@vanillarelay/core';

/** An endpoint that may take a request, with what decides whether it should. */
export interface Candidate {
  id: EndpointId;
  dataCentre: DataCentreId;
  slots: number;
  /** Requests that it holds, estimated. */
  load: number;
  /** Whether it is avoided after failures, silent, or out of its share of a cold endpoint's rate. */
  isAvoided: boolean;
  isFailing: boolean;
}
