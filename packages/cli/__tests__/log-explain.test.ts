import { createMainCommand, type CliContext } from '@vanillarelay/cli';
import { runCommand } from 'citty';
import { expect, it } from 'vitest';

const lines = [
  { time: 900, process: 'router-2', event: 'state.inForce', version: 7 },
  { time: 1_000, process: 'router-1', event: 'state.inForce', version: 6 },
  {
    time: 1_200,
    process: 'router-2',
    event: 'endpoint.announced',
    endpoint: 'e1',
    state: 'leaving',
  },
  { time: 1_300, process: 'router-1', event: 'endpoint.announced', endpoint: 'e9', state: 'ready' },
  { time: 1_400, process: 'router-1', event: 'request.answered', request: 'other', sends: [] },
  {
    ...{ time: 1_500, process: 'router-1', event: 'request.failed', request: 'r1', version: 6 },
    sends: [{ endpoint: 'e1', reason: 'home', outcome: 'broken: ECONNRESET' }],
  },
];

// Guards against an explanation that omits what another process logged about the same endpoint.
it('shows one request with the events that led to it, from several processes', async () => {
  const printed: string[] = [];
  const text = lines.map((line) => `  12.5 host ${JSON.stringify(line)}`).join('\n');
  const context = {
    loadText: async () => `${text}\nnot a log line {`,
    print: (line: string) => printed.push(line),
  } as unknown as CliContext;
  const rawArgs = ['log', 'explain', 'r1', '--file', 'a.log'];
  await runCommand(createMainCommand(context), { rawArgs });
  expect(printed).toMatchInlineSnapshot(`
    [
      "1970-01-01T00:00:01.000Z  router-1  state.inForce  version=6",
      "1970-01-01T00:00:01.200Z  router-2  endpoint.announced  endpoint="e1"  state="leaving"",
      "1970-01-01T00:00:01.500Z  router-1  request.failed  request="r1"  version=6  sends=[{"endpoint":"e1","reason":"home","outcome":"broken: ECONNRESET"}]",
    ]
  `);
});
