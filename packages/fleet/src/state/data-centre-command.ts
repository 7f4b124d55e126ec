import type { DataCentreId } from '@vanillarelay/core';

/** A command of an operator that takes a data centre out or brings it back. */
export interface DataCentreCommand {
  type: 'takeOutDataCentre' | 'bringBackDataCentre';
  dataCentre: DataCentreId;
}
