import type { DaemonRow } from '@vanillarelay/control';

/** A row of the list of daemons that operators read. */
export type ListedDaemon = DaemonRow & {
  /** The hub that received its last report. */
  hub: string;
  /** Milliseconds since that report. */
  silentMs: number;
};
