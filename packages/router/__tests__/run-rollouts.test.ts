import type { KnownRollout, RolloutProposal } from '@vanillarelay/routing';
import { expect, it } from 'vitest';
import { runRollouts } from '../src/daemon/run-rollouts.js';

const proposal: RolloutProposal = {
  ...{ service: 'desk' as never, startIndex: 5, outcome: 'completed' },
  verdict: { isSound: true, good: 40, bad: 0, oldShare: 0.01, evidence: -6, recentEvidence: -4 },
};

/** Runs the loop for a number of rounds on a virtual clock. */
async function runRounds(
  rounds: number,
  options: { isHub: boolean; list?: KnownRollout[]; failures: number },
) {
  const stop = new AbortController();
  const proposed: unknown[] = [];
  const updates: unknown[] = [];
  const events: string[] = [];
  let { failures } = options;
  let round = 0;
  await runRollouts({
    clock: {
      wait: async () => {
        round += 1;
        if (round >= rounds) stop.abort();
        // Lets a proposal settle before the next round.
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
      },
    },
    signal: stop.signal,
    log: { write: (event) => events.push(event) },
    state: {
      listRollouts: () => options.list,
      proposeRolloutEnd: async (...end) => {
        proposed.push(end);
        failures -= 1;
        if (failures >= 0) throw new Error('no quorum');
      },
    },
    router: {
      updateRollouts: (list) => updates.push(list),
      listRolloutProposals: () => [proposal],
    },
    isHub: () => options.isHub,
  });
  return { proposed, updates: updates.length, events };
}

// Guards against an end that is lost with its proposal, and one that is proposed again for ever.
it('proposes an end until it is durable', async () => {
  const { proposed, events } = await runRounds(6, { isHub: true, list: [], failures: 2 });
  expect(proposed).toEqual(Array(3).fill(['desk', 5, 'completed']));
  expect(events.filter((event) => event === 'rollout.notProposed')).toHaveLength(2);
});

// Guards against proposals of all routers, and against a state that no quorum has confirmed.
it('proposes nothing on other routers, and takes no state before it is confirmed', async () => {
  const other = await runRounds(3, { isHub: false, list: [], failures: 0 });
  const early = await runRounds(3, { isHub: true, failures: 0 });
  expect([other.proposed, other.updates]).toEqual([[], 3]);
  expect([early.proposed, early.updates]).toEqual([[], 0]);
});
