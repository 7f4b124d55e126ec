import type { ServiceId } from '../ids/service-id.js';

/** A client account. */
export interface AccountConfig {
  /** SHA-256 of each valid bearer key, hexadecimal; several allow rotation. */
  keyHashes: string[];
  /** Requests a second over all entries together. */
  requestsPerSecond: number;
  /** Services that the account may call. */
  services: ServiceId[];
}
