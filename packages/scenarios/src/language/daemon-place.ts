import type { DataCentreId } from '@vanillarelay/core';

/** Where a process of the scenario runs. */
export interface DaemonPlace {
  role: 'control' | 'entry' | 'agent';
  dataCentre: DataCentreId;
  /** Set for agents. */
  service?: 'reports' | 'notices';
}
