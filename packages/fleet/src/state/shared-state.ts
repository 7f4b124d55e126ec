import type { DataCentreId } from '@vanillarelay/core';

/** State that all routers share through the replicated log. */
export interface SharedState {
  /** Log index of the last command that changed the state. */
  index: number;
  /** Version of the configuration; 0 before the first one. */
  version: number;
  /** The configuration as the operator sent it. */
  source: string;
  dataCentresOut: DataCentreId[];
}
