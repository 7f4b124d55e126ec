import type { SharedState } from './shared-state.js';

/** The state before the first command. */
export const emptySharedState: SharedState = {
  index: 0,
  version: 0,
  source: '',
  dataCentresOut: [],
};
