import type { Clock } from '@vanillarelay/core';
import type { KnownRollout, RolloutProposal } from '@vanillarelay/routing';
import type { Log } from '../log/log.js';
import type { RolloutState } from './rollout-state.js';

interface RolloutRunOptions {
  clock: Pick<Clock, 'wait'>;
  signal: AbortSignal;
  log: Pick<Log, 'write'>;
  state: RolloutState;
  router: {
    updateRollouts: (list: readonly KnownRollout[]) => void;
    listRolloutProposals: () => readonly RolloutProposal[];
  };
  /** Whether this daemon is a hub, which proposes the end of roll-outs. */
  isHub: () => boolean;
}

/** Interval at which the state of the roll-outs is passed on and ends are proposed. */
const intervalMs = 100;
/** The same while none is in progress; a start is passed on with the state that holds it. */
const idleIntervalMs = 1_000;

/**
 * Passes the state of the roll-outs to the router at an interval. On a hub, it also proposes the end
 * of those that are decided. Every hub proposes, as any of them may be cut off; the first end stands.
 */
export async function runRollouts(options: RolloutRunOptions): Promise<void> {
  const { clock, signal, log, state, router, isHub } = options;
  /** Roll-outs whose end is being proposed or is durable. */
  const proposed = new Set<number>();
  const propose = async ({ service, startIndex, outcome, verdict }: RolloutProposal) => {
    if (proposed.has(startIndex)) return;
    proposed.add(startIndex);
    log.write('rollout.proposed', { service, startIndex, outcome, verdict });
    try {
      await state.proposeRolloutEnd(service, startIndex, outcome);
    } catch (error) {
      const reason = (error as Error).message;
      log.write('rollout.notProposed', { service, startIndex, outcome, reason });
      proposed.delete(startIndex);
    }
  };
  while (!signal.aborted) {
    const list = state.listRollouts();
    if (list) router.updateRollouts(list);
    const proposals = list && isHub() ? router.listRolloutProposals() : [];
    proposals.forEach((proposal) => {
      void propose(proposal);
    });
    const isActive = list?.some(({ rollout }) => rollout.state === 'inProgress') ?? false;
    await clock.wait(isActive ? intervalMs : idleIntervalMs, signal);
  }
}
