import type { DataCentreId } from '@vanillarelay/core';

/** Role and location of a daemon in a scenario. */
export interface ProcessSpec {
  role: 'control' | 'entry' | 'agent';
  dataCentre: DataCentreId;
  /** Set for agents. */
  service?: 'reports' | 'notices';
}
