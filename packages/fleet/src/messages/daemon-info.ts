import type { DaemonId, DataCentreId } from '@vanillarelay/core';

/** Identity and location of a daemon, as sent to its peers. */
export interface DaemonInfo {
  id: DaemonId;
  /** Differs with each start of the process. */
  incarnation: string;
  /** IP and port on which it serves its peers. */
  address: string;
  dataCentre: DataCentreId;
  /** Identity of its disk; absent on a daemon without a disk and until the disk is open. */
  diskId?: string;
}
