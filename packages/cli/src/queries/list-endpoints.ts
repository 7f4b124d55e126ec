import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { operatorArgs } from '../context/operator-args.js';
import { formatTable } from '../format/format-table.js';
import { runQuery } from './run-query.js';

/** Creates the query `endpoint list`. */
export function createListEndpointsQuery(context: CliContext) {
  return defineCommand({
    meta: { name: 'list', description: 'List the endpoints that the hubs know' },
    args: operatorArgs,
    run: ({ args }) =>
      runQuery(
        context,
        args,
        (client) => client.listEndpoints(),
        (endpoints) =>
          formatTable(
            ['endpoint', 'service', 'data centre', 'vm', 'agent', 'status', 'running', 'slots'],
            endpoints.map((e) => [
              e.id,
              e.service,
              e.dataCentre,
              e.vm,
              e.address,
              e.damped ? `${e.status} (damped)` : e.status,
              e.running,
              e.slots,
            ]),
          ),
      ),
  });
}
