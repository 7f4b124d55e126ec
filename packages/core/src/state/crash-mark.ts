import type { Fingerprint } from '../ids/fingerprint.js';

/** Marks the content of a request that was running when an endpoint crashed. */
export interface CrashMark {
  fingerprint: Fingerprint;
  /** Suspect content runs alone at an endpoint; convicted content is refused. */
  status: 'suspect' | 'convicted';
  /** Number of crashes while the content was running. */
  crashes: number;
  /** Wall-clock time at which the mark expires, in milliseconds since the epoch. */
  expiresAt: number;
}
