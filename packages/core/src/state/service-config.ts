import type { RequestKind } from './request-kind.js';

/** A service: a model with its replicas, or a plain service. */
export interface ServiceConfig {
  type: 'model' | 'plain';
  /** Limit of running requests at an endpoint, as a multiple of the mean over the service. */
  loadMultiple: number;
  /** Number of requests that a cold endpoint can run at once. */
  coldLimit: number;
  /** Expected time to the first byte of an answer on a warm endpoint, in milliseconds. */
  firstByteMs: number;
  /** Kinds by name; the first kind whose method and path match applies. */
  kinds: Record<string, RequestKind>;
}
