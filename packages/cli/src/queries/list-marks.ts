import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { operatorArgs } from '../context/operator-args.js';
import { formatTable } from '../format/format-table.js';
import { runQuery } from './run-query.js';

/** Creates the query `mark list`. */
export function createListMarksQuery(context: CliContext) {
  return defineCommand({
    meta: { name: 'list', description: 'List request contents that crashed an endpoint' },
    args: operatorArgs,
    run: ({ args }) =>
      runQuery(
        context,
        args,
        async (client) => (await client.readState()).marks,
        (marks) =>
          formatTable(
            ['fingerprint', 'status', 'crashes', 'until'],
            marks.map((m) => [
              m.fingerprint,
              m.status,
              m.crashes,
              new Date(m.expiresAt).toISOString(),
            ]),
          ),
      ),
  });
}
