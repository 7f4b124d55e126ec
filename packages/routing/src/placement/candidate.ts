import type { DataCentreId, EndpointId } from '@vanillarelay/core';

/** An endpoint that may take a request, with what decides whether it should. */
export interface Candidate {
  id: EndpointId;
  dataCentre: DataCentreId;
  slots: number;
  /** Requests that it holds, estimated. */
  load: number;
  /** Why it is used only when sounder endpoints have too much to do, if so. */
  doubt?: 'silent' | 'unreachable' | 'failing';
}
