import type { DataCentreId } from '@vanillarelay/core';

/** A command of an operator that takes a data centre out or brings it back. */
export interface DataCentreCommand {
  type: 'takeOutDataCentre' | 'bringBackDataCentre';
  dataCentre: DataCentreId;
  /**
   * Index of a state that the proposing daemon knew while the operator still waited. An order for
   * the same data centre that is in the log after it makes this command outdated. Logs of earlier
   * versions hold commands without it.
   */
  base?: number;
}
