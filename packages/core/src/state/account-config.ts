import type { ServiceId } from '../ids/service-id.js';

/** A client account. */
export interface AccountConfig {
  /** SHA-256 of each valid bearer key in hexadecimal; several keys allow rotation. */
  keyHashes: string[];
  /** Limit of requests per second over all entries together. */
  requestsPerSecond: number;
  /** Services that the account may call. */
  services: ServiceId[];
}
