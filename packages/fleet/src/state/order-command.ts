import type { DataCentreCommand } from './data-centre-command.js';
import type { StartRollout } from './start-rollout.js';

/** A command of an operator that is proposed on top of a known state. */
export type OrderCommand = DataCentreCommand | StartRollout;
