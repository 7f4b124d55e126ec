import type { ChangeId, FleetConfig } from '@vanillarelay/core';

/** One accepted change in the history that operators read. */
export interface ChangeEntry {
  /** Log index of the change. */
  index: number;
  changeId: ChangeId;
  operator: string;
  /** Time of the log entry in milliseconds since the epoch. */
  at: number;
  /** Version of the configuration after the change. */
  configVersion: number;
  type: string;
  summary: string;
  /** The configuration that the change applied; only the newest ones are kept. */
  config?: FleetConfig;
}
