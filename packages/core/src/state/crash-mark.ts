import type { Fingerprint } from '../ids/fingerprint.js';

/** A request content that was running when an endpoint crashed. */
export interface CrashMark {
  fingerprint: Fingerprint;
  /** A suspect runs alone; a convicted one is refused. */
  status: 'suspect' | 'convicted';
  /** Crashes seen with it. */
  crashes: number;
  /** Wall time at which the mark ends, in milliseconds since the epoch. */
  expiresAt: number;
}
