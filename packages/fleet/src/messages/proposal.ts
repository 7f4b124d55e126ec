import type { EndRollout } from '../state/end-rollout.js';
import type { OrderCommand } from '../state/order-command.js';
import type { ConfigProposal } from './config-proposal.js';

/** A change that a daemon proposes to the leader. */
export type Proposal = ConfigProposal | OrderCommand | EndRollout;
