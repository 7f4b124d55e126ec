import type { SharedState } from '../state/shared-state.js';

/** The newest shared state, or only its index when the sender of the request has it already. */
export interface StateReply {
  index: number;
  /** Present when the index differs from `knownIndex` of the request. */
  state?: SharedState;
}
