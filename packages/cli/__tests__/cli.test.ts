import { createMainCommand, type CliContext } from '@vanillarelay/cli';
import {
  RelayError,
  toExitCode,
  type Command,
  type CommandResult,
  type ConfigChange,
  type DaemonState,
  type Member,
  type TimelineEvent,
} from '@vanillarelay/core';
import type { OperatorClient } from '@vanillarelay/daemon';
import { runCommand } from 'citty';
import { expect, it } from 'vitest';

const config = {
  dataCentres: { lahore: { region: 'punjab' }, multan: { region: 'punjab' } },
  services: {},
  accounts: {},
  concurrentLoads: 2,
};

const state = {
  version: 17,
  configVersion: 2,
  config,
  dataCentresOut: ['multan'],
  draining: [],
  marks: [{ fingerprint: 'f1', status: 'convicted', crashes: 2, expiresAt: 1_700_000_600_000 }],
  orders: [],
} as unknown as DaemonState;

const endpoint = {
  id: 'reports-1',
  service: 'reports',
  dataCentre: 'lahore',
  vm: 'vm-1',
  address: '10.0.0.1:7300',
  status: 'ready',
  damped: false,
  slots: 16,
  running: 3,
} as unknown as Member & { running: number };

const history = [
  { version: 1, operator: 'amina', changeId: 'c1', config: { ...config, concurrentLoads: 1 } },
  { version: 2, operator: 'bilal', changeId: 'c2', config },
] as unknown as ConfigChange[];

const event = (at: string, process: string, name: string, requestId: string) =>
  ({ at, process, dataCentre: 'lahore', name, requestId }) as unknown as TimelineEvent;

const createTestCli = (
  result: CommandResult = { ok: true, index: 17, value: { configVersion: 3 } },
) => {
  const proposed: Command[] = [];
  const attached = { dataCentre: 'lahore', contact: 'attached', silentMs: 100 } as const;
  const printed: string[] = [];
  const client: OperatorClient = {
    propose: async (command) => {
      proposed.push(command);
      return result;
    },
    readState: async () => state,
    listHistory: async () => history,
    listDaemons: async () => [
      { daemon: 'entry-1', address: '10.0.0.2:7200', version: 17, role: 'entry', ...attached },
      { daemon: 'reports-1', address: '10.0.0.1:7300', version: 16, role: 'agent', ...attached },
    ],
    listEndpoints: async () => [endpoint],
    listControls: async () => [
      { address: '10.0.0.3:7100', version: 17 },
      { address: '10.0.0.4:7100', error: 'no answer' },
    ],
    readTimeline: async (requestId) => ({
      events: requestId === 'none' ? [] : [event('1', 'entry-1', 'request.dispatched', 'r1')],
      missing: ['reports-1'],
    }),
    close: () => {},
  };
  const files: Record<string, unknown> = {
    'fleet.json': {
      operator: 'amina',
      operatorKey: 'an-operator-key-of-16',
      control: ['10.0.0.3:7100'],
    },
    'config.json': config,
    'bad.json': { ...config, concurrentLoads: 0 },
  };
  const context: CliContext = {
    openOperator: () => client,
    callControl: async () => ({ status: 503, body: '' }),
    print: (text) => printed.push(text),
    loadText: async (path) => JSON.stringify(files[path]),
    writeText: async () => {},
    createChangeId: () => 'change-1' as never,
    wait: async () => {},
  };
  const run = async (line: string) => {
    try {
      await runCommand(createMainCommand(context), { rawArgs: line.split(' ') });
    } catch (error) {
      if (!(error instanceof RelayError)) throw error;
      printed.push(`exit ${toExitCode(error.code)}: ${error.message}`);
    }
    return printed.splice(0).join('\n');
  };
  return { run, proposed };
};

// Guards against a command that proposes something other than its arguments say.
it.each([
  'config apply config.json --expected-version 2 --change-id mine',
  'data-centre take-out multan',
  'data-centre bring-back multan',
  'endpoint drain reports-1',
  'endpoint drain reports-1 --undo',
  'mark lift f1',
  'engine order reports-1 --action loadModel --target report-writer-2',
])('proposes: %s', async (line) => {
  const { run, proposed } = createTestCli();
  expect(await run(`${line} --fleet fleet.json`)).toMatchSnapshot();
  expect(proposed).toMatchSnapshot();
});

// Guards against a report that shows an accepted change as in force, or hides who won a conflict.
it('reports separately whether a change is accepted and in force, and a conflict with its exit code', async () => {
  const line = 'data-centre take-out multan --fleet fleet.json';
  const inForce = createTestCli({ ok: true, index: 16 });
  expect(await inForce.run(line)).toMatchSnapshot();
  expect(JSON.parse(await createTestCli().run(`${line} --json`))).toMatchSnapshot();
  const conflict = createTestCli({
    ok: false,
    code: 5002,
    message: 'version 3 was taken by bilal',
  });
  expect(await conflict.run(line)).toMatchSnapshot();
});

// Guards against an invalid configuration, version or operator setting that reaches control nodes.
it.each([
  'config apply bad.json --expected-version 2 --fleet fleet.json',
  'config apply config.json --expected-version two --fleet fleet.json',
  'status --control 10.0.0.3 --key short',
])('refuses before it asks the control nodes: %s', async (line) => {
  const { run, proposed } = createTestCli();
  expect(await run(line)).toMatchSnapshot();
  expect(proposed).toEqual([]);
});

// Guards against output that omits a column or a process that did not answer, or is not valid JSON.
it.each([
  'status',
  'config show 1',
  'config show 9',
  'config history',
  'config diff 1 2',
  'data-centre list',
  'endpoint list',
  'mark list',
  'timeline --request r1',
  'explain r1',
  'explain none',
])('prints: %s', async (line) => {
  const { run } = createTestCli();
  expect(await run(`${line} --fleet fleet.json`)).toMatchSnapshot();
  const json = await run(`${line} --fleet fleet.json --json`);
  if (!json.startsWith('exit')) expect(JSON.parse(json)).toBeTypeOf('object');
});
