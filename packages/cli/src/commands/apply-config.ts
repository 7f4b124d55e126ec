import { checkFleetConfig } from '@vanillarelay/config';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { loadJson } from '../context/load-json.js';
import { parseCount } from '../context/parse-count.js';
import { changeArgs } from './change-args.js';
import { runChange } from './run-change.js';

/** Creates the command `config apply`. */
export function createApplyCommand(context: CliContext) {
  return defineCommand({
    meta: { name: 'apply', description: 'Replace the fleet configuration' },
    args: {
      file: { type: 'positional', description: 'JSON configuration', required: true },
      'expected-version': {
        type: 'string',
        description: 'Version that the file is based on; any other current version is a conflict',
        required: true,
      },
      ...changeArgs,
    },
    run: async ({ args }) => {
      const expectedVersion = parseCount('expected-version', args['expected-version']);
      const config = checkFleetConfig(await loadJson(context, args.file));
      await runChange(context, args, (origin) => ({
        ...origin,
        type: 'applyConfig',
        expectedVersion,
        config,
      }));
    },
  });
}
