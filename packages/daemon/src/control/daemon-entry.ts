import type { DaemonRow } from '@vanillarelay/control';

/** A daemon in the operators' list. */
export type DaemonEntry = DaemonRow & {
  /** The hub that received its last report. */
  hub: string;
  /** Milliseconds since then. */
  silentMs: number;
};
