import type { Report } from '@vanillarelay/core';

/** A daemon as the hubs know it, from its last report. */
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
