import type { SharedState } from '../state/shared-state.js';

/** The newest shared state, or only its index when the asker has it. */
export interface StateReply {
  index: number;
  /** Present when the index is not the one that the asker named. */
  state?: SharedState;
}
