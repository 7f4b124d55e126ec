import {
  RelayError,
  ResultCode,
  type Command,
  type CommandResult,
  type ControlClient,
} from '@vanillarelay/core';
import { createProposer } from '@vanillarelay/link';
import { createSeededRandom, createVirtualClock } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';

const seed = 13;
const claim = { type: 'claim', account: 'a', key: 'k', nonce: 'n' } as unknown as Command;
const crash = { type: 'reportCrash', endpoint: 'e', fingerprints: [] } as unknown as Command;

type Answer = () => Promise<CommandResult>;

const refuse =
  (code: ResultCode, notRun: boolean): Answer =>
  async () => {
    throw new RelayError(code, 'refused', { notRun });
  };
const wait: Answer = () => new Promise(() => {});
const accept: Answer = async () => ({ ok: true, index: 7 });
const nameLeader: Answer = async () => {
  throw new RelayError(ResultCode.notLeader, 'refused', { notRun: true, leader: 'control-0' });
};

/** Proposes to three nodes with the given behaviour; returns the result and the nodes called. */
async function runProposal(answers: Answer[], command: Command) {
  const virtual = createVirtualClock();
  const calls: number[] = [];
  const propose = createProposer({
    clock: virtual.clock,
    random: createSeededRandom(seed),
    controls: answers.map((answer, index) => ({
      id: `control-${index}` as never,
      client: {
        propose: (sent: Command) => {
          expect(sent).toBe(command);
          calls.push(index);
          return answer();
        },
      } as unknown as ControlClient,
    })),
  });
  const result = await virtual.runUntil(
    propose(command, new AbortController().signal).catch((error: RelayError) => ({
      code: error.code,
      notRun: error.notRun,
    })),
  );
  const nodes = [...new Set(calls)].join(' ');
  const isRepeated = calls.length > answers.length;
  return `nodes ${nodes}${isRepeated ? ' and again' : ''}: ${JSON.stringify(result)}`;
}

// Guards against a proposal that fails at a follower, a failed node or a node that hangs.
it('follows the named leader and skips nodes that fail', async () => {
  const failed = refuse(ResultCode.connectionFailed, false);
  expect([
    await runProposal([accept, nameLeader, nameLeader], claim),
    await runProposal([failed, wait, accept], claim),
  ]).toMatchInlineSnapshot(`
    [
      "nodes 1 0: {"ok":true,"index":7}",
      "nodes 1 2: {"ok":true,"index":7}",
    ]
  `);
});

// Guards against reporting "not run" for a command that a node may have accepted.
it('rejects as not run only when no node can have accepted the command', async () => {
  const refused = refuse(ResultCode.connectionFailed, true);
  const noQuorum = refuse(ResultCode.noQuorum, true);
  expect([
    await runProposal([refused, noQuorum, refused], claim),
    await runProposal([refused, noQuorum, wait], claim),
    await runProposal([refused, refused, refuse(ResultCode.noQuorum, false)], claim),
  ]).toMatchInlineSnapshot(`
    [
      "nodes 1 2 0 and again: {"code":5001,"notRun":true}",
      "nodes 1 2 0 and again: {"code":5001,"notRun":false}",
      "nodes 1 2 0 and again: {"code":5001,"notRun":false}",
    ]
  `);
});

// Guards against one crash that is counted twice and blocks a harmless request.
it('does not resend a command without an id that may have been accepted', async () => {
  expect(await runProposal([wait, wait, wait], crash)).toMatchInlineSnapshot(
    `"nodes 1: {"code":5001,"notRun":false}"`,
  );
});
