import type { DataCentreId } from '@vanillarelay/core';

/** A command of an operator that changes the shared state. */
export type SharedCommand =
  | { type: 'putConfig'; version: number; source: string }
  | { type: 'takeOutDataCentre'; dataCentre: DataCentreId }
  | { type: 'bringBackDataCentre'; dataCentre: DataCentreId };
