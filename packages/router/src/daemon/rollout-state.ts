import type { ServiceId } from '@vanillarelay/core';
import type { KnownRollout, RolloutProposal } from '@vanillarelay/routing';

/** The roll-outs in the replicated state, as a daemon reads and ends them. */
export interface RolloutState {
  /** The last roll-out of each service; undefined before a quorum has confirmed the state. */
  listRollouts: () => readonly KnownRollout[] | undefined;
  /** Resolves when the end is durable at a majority; the first end of a roll-out stands. */
  proposeRolloutEnd: (
    service: ServiceId,
    startIndex: number,
    outcome: RolloutProposal['outcome'],
  ) => Promise<void>;
}
