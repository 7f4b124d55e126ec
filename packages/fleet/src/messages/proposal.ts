import type { DataCentreCommand } from '../state/data-centre-command.js';
import type { ConfigProposal } from './config-proposal.js';

/** A change that a daemon proposes to the leader. */
export type Proposal = ConfigProposal | DataCentreCommand;
