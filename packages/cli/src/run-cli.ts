import { readFile } from 'node:fs/promises';
import { AgentSettings, ControlSettings, EntrySettings } from '@vanillarelay/config';
import {
  runAgent,
  runControl,
  runEntry,
  runFakeEngine,
  runFakeService,
  runFakeWeightStore,
} from '@vanillarelay/daemon';
import { defineCommand, runMain } from 'citty';

const settings = {
  settings: { type: 'positional', description: 'JSON settings file', required: true },
} as const;

const address = {
  address: { type: 'positional', description: 'IP:port', required: true },
} as const;

const loadJson = async (path: string): Promise<unknown> => JSON.parse(await readFile(path, 'utf8'));

const main = defineCommand({
  meta: { name: 'vanillarelay', description: 'Router fleet for returning chats' },
  subCommands: {
    control: defineCommand({
      meta: { name: 'control', description: 'Start a control process' },
      args: settings,
      run: async ({ args }) => runControl(ControlSettings.parse(await loadJson(args.settings))),
    }),
    entry: defineCommand({
      meta: { name: 'entry', description: 'Start an entry process' },
      args: settings,
      run: async ({ args }) => runEntry(EntrySettings.parse(await loadJson(args.settings))),
    }),
    agent: defineCommand({
      meta: { name: 'agent', description: 'Start an agent process' },
      args: settings,
      run: async ({ args }) => runAgent(AgentSettings.parse(await loadJson(args.settings))),
    }),
    'fake-engine': defineCommand({
      meta: { name: 'fake-engine', description: 'Start a fake engine' },
      args: {
        ...address,
        options: { type: 'string', description: 'Options of the engine as JSON', default: '{}' },
      },
      run: ({ args }) => runFakeEngine(args.address, JSON.parse(args.options) as object),
    }),
    'fake-service': defineCommand({
      meta: { name: 'fake-service', description: 'Start a fake plain service' },
      args: {
        ...address,
        options: { type: 'string', description: 'Options of the service as JSON', default: '{}' },
      },
      run: ({ args }) => runFakeService(args.address, JSON.parse(args.options) as object),
    }),
    'fake-weight-store': defineCommand({
      meta: { name: 'fake-weight-store', description: 'Start a fake weight store' },
      args: address,
      run: ({ args }) => runFakeWeightStore(args.address),
    }),
  },
});

/** Runs the command line. */
export function runCli(): Promise<void> {
  return runMain(main);
}
