import type { DataCentreId, EndpointId } from '@vanillarelay/core';
import type { PlacementRequest } from '@vanillarelay/routing';

/** The properties of a request that a choice by its expected finish uses. */
export interface FinishRequest extends PlacementRequest {
  /** Time that is left of the target time to the first event, in milliseconds. */
  objectiveLeftMs: number;
  /** Where this router sent the prompt a short time ago, if that was not its home. */
  keptAt?: EndpointId;
  /** Data centres of the endpoints that this request has already been sent to. */
  triedDataCentres: ReadonlySet<DataCentreId>;
}
