import { createMainCommand, type CliContext } from '@vanillarelay/cli';
import { RelayError, ResultCode, toExitCode } from '@vanillarelay/core';
import { runCommand } from 'citty';
import { expect, it } from 'vitest';

type Answer = Awaited<ReturnType<CliContext['callControl']>>;

const lost = new RelayError(ResultCode.connectionFailed, 'refused');
const accepted: Answer = { status: 200, body: '{}' };
const inProgress: Answer = { status: 200, body: '{"State":"in_progress","To":"v2"}' };
const unconfirmed: Answer = { status: 503, body: '{"Error":"no quorum"}' };
const start = 'rollout start desk --to v2 --duration-s 12';

/** Runs a command whose calls are answered in order; the last answer is repeated. */
const run = async (line: string, answers: (Answer | Error)[]) => {
  const calls: [address: string, call: unknown][] = [];
  const printed: string[] = [];
  const context = {
    print: (text: string) => printed.push(text),
    wait: async () => {},
    callControl: async (address: string, call: unknown) => {
      calls.push([address, call]);
      const answer = answers[Math.min(calls.length, answers.length) - 1] ?? lost;
      if (answer instanceof Error) throw answer;
      return answer;
    },
  } as unknown as CliContext;
  const control = line.includes('--control') ? '' : ' --control 10.0.0.5:8229,10.0.0.6:8229';
  const rawArgs = `${line}${control}`.split(' ');
  try {
    await runCommand(createMainCommand(context), { rawArgs });
  } catch (error) {
    if (!(error instanceof RelayError)) throw error;
    printed.push(`exit ${toExitCode(error.code)}: ${error.message}`);
  }
  return { printed, calls };
};

// Guards against an order or a query that differs from its arguments, and output that is not JSON.
it.each([
  [start, accepted],
  [`${start} --json`, accepted],
  ['rollout show desk', inProgress],
  ['rollout show a/b --json', inProgress],
  ['rollout show desk', { status: 200, body: '<html>' }],
])('calls a router daemon: %s', async (line, answer) => {
  expect(await run(line, [answer])).toMatchSnapshot();
});

// Guards against giving an order up, or repeating it without end, when daemons do not answer.
it('repeats an order at the next daemon while none answers', async () => {
  const later = await run(start, [lost, unconfirmed, accepted]);
  const never = await run(start, [unconfirmed]);
  expect([later.calls.map(([address]) => address), later.printed]).toEqual([
    ['10.0.0.5:8229', '10.0.0.6:8229', '10.0.0.5:8229'],
    ['accepted: desk to v2 within 12 s'],
  ]);
  expect([never.calls.length, never.printed]).toMatchSnapshot();
});

// Guards against repeating an order that was refused.
it.each([400, 404, 409])('ends at a refusal with status %i', async (status) => {
  const { calls, printed } = await run(start, [{ status, body: '{"Error":"the reason"}' }]);
  expect([calls.length, printed]).toMatchSnapshot();
});

// Guards against orders that are not valid and still sent.
it.each([
  'rollout start desk --to v2 --duration-s 0',
  'rollout start desk --to v2 --duration-s x',
  'rollout show desk --control 10.0.0.5',
])('refuses before it calls a daemon: %s', async (line) => {
  const { calls, printed } = await run(line, [accepted]);
  expect([calls, printed]).toMatchSnapshot();
});
