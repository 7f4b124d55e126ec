import type { DaemonId, DataCentreId } from '@vanillarelay/core';

/** A daemon as its peers know it. */
export interface DaemonInfo {
  id: DaemonId;
  /** Differs with each start of the process. */
  incarnation: string;
  /** IP and port on which it answers its peers. */
  address: string;
  dataCentre: DataCentreId;
  /** Identity of its disk; absent without one, or until the disk is open. */
  diskId?: string;
}
