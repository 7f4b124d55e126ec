import { RelayError, ResultCode, type CommandResult } from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { createContentStore } from '../src/content/create-content-store.js';
import type { ConfigProposal } from '../src/messages/config-proposal.js';
import { createConfigProposals } from '../src/proposals/create-config-proposals.js';
import { proposeConfig } from '../src/proposals/propose-config.js';
import { applySharedCommand } from '../src/state/apply-shared-command.js';
import { emptySharedState } from '../src/state/empty-shared-state.js';
import type { PatchConfig } from '../src/state/patch-config.js';

const buildSource = (version: number) =>
  JSON.stringify({
    Version: version,
    Routes: Array.from({ length: 2_000 }, (_, index) => ({ Name: `route-${index * 7919}` })),
  });

/** Creates a leader that commits at once, or when `release` is called. */
function createLeader({ isHeld = false } = {}) {
  let state = emptySharedState;
  const contents = createContentStore();
  const commits: PatchConfig[] = [];
  const waiting: (() => void)[] = [];
  const commit = async (command: PatchConfig): Promise<CommandResult> => {
    commits.push(command);
    if (isHeld) {
      await new Promise<void>((resolve) => {
        waiting.push(resolve);
      });
    }
    try {
      state = applySharedCommand(state, command, commits.length);
      contents.add(state);
      return { ok: true, index: commits.length };
    } catch (error) {
      const { code, message } = error as RelayError;
      return { ok: false, code, message };
    }
  };
  const proposals = createConfigProposals({
    ...{ contents, commit, checkLeader: () => {}, readState: () => state },
  });
  return {
    ...{ commits, waiting, propose: proposals.propose },
    readState: () => state,
    replaceState: (version: number) => {
      state = { ...state, version, hash: 'other' as never, source: 'other' };
    },
  };
}

const clock = { monotonic: () => 0 };

const send = (
  leader: ReturnType<typeof createLeader>,
  version: number,
  sent: ConfigProposal[] = [],
  held = emptySharedState,
) =>
  proposeConfig({
    clock,
    command: { type: 'putConfig', version, source: buildSource(version) },
    held,
    callLeader: async (proposal) => {
      sent.push(proposal);
      return leader.propose(proposal);
    },
  });

// Guards against a proposal whose size follows the configuration when only its version changed.
it('sends only what the leader lacks', async () => {
  const leader = createLeader();
  const first: ConfigProposal[] = [];
  await send(leader, 1, first);
  const second: ConfigProposal[] = [];
  await send(leader, 2, second, leader.readState());
  const measure = (list: ConfigProposal[]) => list.map(({ part }) => part?.text.length ?? 0);
  expect({ first: measure(first), second: measure(second) }).toMatchSnapshot();
  expect(leader.readState().source).toBe(buildSource(2));
});

// Guards against a change that is committed once for every attempt to send it.
it('commits a proposal once that is repeated while it is pending', async () => {
  const leader = createLeader({ isHeld: true });
  const first = send(leader, 1);
  const sent: ConfigProposal[] = [];
  const second = send(leader, 1, sent);
  await new Promise(setImmediate);
  leader.waiting.forEach((release) => release());
  expect([await first, await second]).toEqual([
    { ok: true, index: 1 },
    { ok: true, index: 1 },
  ]);
  expect(leader.commits).toHaveLength(1);
});

// Guards against operators at the same time whose changes are patches of the same version.
it('commits concurrent proposals in order, each as a patch of the one before', async () => {
  const leader = createLeader();
  const results = await Promise.all([send(leader, 1), send(leader, 3), send(leader, 2)]);
  expect(results.every(({ ok }) => ok)).toBe(true);
  expect(leader.readState().version).toBe(3);
  expect(leader.readState().source).toBe(buildSource(3));
});

// Guards against a patch that is applied to another configuration than it was built on.
it('builds the patch again when another change came first', async () => {
  const leader = createLeader({ isHeld: true });
  const result = send(leader, 5);
  await new Promise(setImmediate);
  leader.replaceState(4);
  leader.waiting.splice(0).forEach((release) => release());
  await new Promise(setImmediate);
  leader.waiting.splice(0).forEach((release) => release());
  expect(await result).toEqual({ ok: true, index: 2 });
  expect(leader.readState()).toMatchObject({ version: 5, source: buildSource(5) });
});

// Guards against a transfer that begins again although the new leader's answer was only late.
it('goes on where it stopped when a call fails', async () => {
  const leader = createLeader();
  let calls = 0;
  const sent: number[] = [];
  const callLeader = async (proposal: ConfigProposal) => {
    calls += 1;
    if (proposal.part) sent.push(proposal.part.offset);
    const reply = await leader.propose(proposal);
    if (calls === 2) throw new RelayError(ResultCode.timeout, 'the reply was lost');
    return reply;
  };
  const command = { type: 'putConfig', version: 1, source: buildSource(1) } as const;
  const options = { clock, command, held: emptySharedState, callLeader };
  await expect(proposeConfig(options)).rejects.toThrow('the reply was lost');
  expect(await proposeConfig(options)).toEqual({ ok: true, index: 1 });
  expect(new Set(sent).size).toBe(sent.length);
});
