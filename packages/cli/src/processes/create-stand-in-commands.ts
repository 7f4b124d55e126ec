import { parseJson } from '@vanillarelay/config';
import { runFakeEngine, runFakeService, runFakeWeightStore } from '@vanillarelay/daemon';
import { defineCommand } from 'citty';

const address = {
  address: { type: 'positional', description: 'IP:port', required: true },
} as const;

const addressAndOptions = {
  ...address,
  options: { type: 'string', description: 'Options as JSON', default: '{}' },
} as const;

const parseOptions = (text: string): object => parseJson(text, '--options') as object;

/** Creates the commands that start stand-ins for back ends. */
export function createStandInCommands() {
  return {
    'fake-engine': defineCommand({
      meta: { name: 'fake-engine', description: 'Start a fake engine' },
      args: addressAndOptions,
      run: ({ args }) => runFakeEngine(args.address, parseOptions(args.options)),
    }),
    'fake-service': defineCommand({
      meta: { name: 'fake-service', description: 'Start a fake plain service' },
      args: addressAndOptions,
      run: ({ args }) => runFakeService(args.address, parseOptions(args.options)),
    }),
    'fake-weight-store': defineCommand({
      meta: { name: 'fake-weight-store', description: 'Start a fake weight store' },
      args: address,
      run: ({ args }) => runFakeWeightStore(args.address),
    }),
  };
}
