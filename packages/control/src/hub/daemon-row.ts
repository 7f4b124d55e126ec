import type { Report } from '@vanillarelay/core';

/** The fields of a daemon's last report that the hubs keep. */
export type DaemonRow = Pick<
  Report,
  | 'daemon'
  | 'role'
  | 'vm'
  | 'dataCentre'
  | 'address'
  | 'incarnation'
  | 'stateVersion'
  | 'contact'
  | 'at'
>;
