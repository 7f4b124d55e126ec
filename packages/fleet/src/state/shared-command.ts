import type { DataCentreId } from '@vanillarelay/core';

/** A change that operators make. */
export type SharedCommand =
  | { type: 'putConfig'; version: number; source: string }
  | { type: 'takeOutDataCentre'; dataCentre: DataCentreId }
  | { type: 'bringBackDataCentre'; dataCentre: DataCentreId };
