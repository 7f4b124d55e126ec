import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { operatorArgs } from '../context/operator-args.js';
import { formatTable } from '../format/format-table.js';
import { runQuery } from './run-query.js';

/** Creates the query `config history`. */
export function createHistoryQuery(context: CliContext) {
  return defineCommand({
    meta: { name: 'history', description: 'List accepted configurations' },
    args: operatorArgs,
    run: ({ args }) =>
      runQuery(
        context,
        args,
        (client) => client.listHistory(),
        (changes) =>
          formatTable(
            ['version', 'operator', 'change id'],
            changes.map((c) => [c.version, c.operator, c.changeId]),
          ),
      ),
  });
}
