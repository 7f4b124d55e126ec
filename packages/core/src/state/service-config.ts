import type { RequestKind } from './request-kind.js';

/** A service: a model with its replicas, or a plain service. */
export interface ServiceConfig {
  type: 'model' | 'plain';
  /** Bound on running requests of an endpoint, as a multiple of the mean. */
  loadMultiple: number;
  /** Requests that a cold endpoint bears at once. */
  coldLimit: number;
  /** Expected time to the first byte of an answer on a warm endpoint, in milliseconds. */
  firstByteMs: number;
  /** Kinds by name; the first whose method and path match applies. */
  kinds: Record<string, RequestKind>;
}
