import type { DataCentreId } from '@vanillarelay/core';

/** What the replicated log holds for all routers. */
export interface SharedState {
  /** Index of the last applied command. */
  index: number;
  /** Version of the configuration; 0 before the first one. */
  version: number;
  /** The configuration as the operator sent it. */
  source: string;
  dataCentresOut: DataCentreId[];
}
