import { emptyContent } from '../content/empty-content.js';
import type { SharedState } from './shared-state.js';

/** The state before the first command. */
export const emptySharedState: SharedState = {
  ...emptyContent,
  index: 0,
  version: 0,
  dataCentresOut: [],
  orderIndexes: {},
  rollouts: {},
  rolloutStarts: {},
};
