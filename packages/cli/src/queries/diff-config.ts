import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { operatorArgs } from '../context/operator-args.js';
import { findConfig } from './find-config.js';
import { listDifferences } from './list-differences.js';
import { runQuery } from './run-query.js';

/** Creates the query `config diff`. */
export function createDiffConfigQuery(context: CliContext) {
  return defineCommand({
    meta: { name: 'diff', description: 'Compare two versions of the configuration' },
    args: {
      from: { type: 'positional', description: 'Version', required: true },
      to: { type: 'positional', description: 'Version; the newest if absent', required: false },
      ...operatorArgs,
    },
    run: ({ args }) =>
      runQuery(
        context,
        args,
        async (client) =>
          listDifferences(await findConfig(client, args.from), await findConfig(client, args.to)),
        formatDifferences,
      ),
  });
}

function formatDifferences(differences: ReturnType<typeof listDifferences>): string {
  const lines = differences.flatMap(({ path, from, to }) => [
    ...(from === undefined ? [] : [`- ${path}: ${JSON.stringify(from)}`]),
    ...(to === undefined ? [] : [`+ ${path}: ${JSON.stringify(to)}`]),
  ]);
  return lines.length > 0 ? lines.join('\n') : 'no difference';
}
