import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { operatorArgs } from '../context/operator-args.js';
import { findConfig } from './find-config.js';
import { runQuery } from './run-query.js';

/** Creates the query `config show`. */
export function createShowConfigQuery(context: CliContext) {
  return defineCommand({
    meta: { name: 'show', description: 'Print the fleet configuration as JSON' },
    args: {
      version: {
        type: 'positional',
        description: 'Version; the newest if absent',
        required: false,
      },
      ...operatorArgs,
    },
    run: ({ args }) =>
      runQuery(
        context,
        args,
        (client) => findConfig(client, args.version),
        (config) => JSON.stringify(config, null, 2),
      ),
  });
}
