import type { OperatorClient } from '@vanillarelay/daemon';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { operatorArgs } from '../context/operator-args.js';
import { formatTable } from '../format/format-table.js';
import { runQuery } from './run-query.js';

interface DataCentreView {
  id: string;
  region: string;
  out: boolean;
  endpoints: number;
  running: number;
}

/** Creates the query `data-centre list`. */
export function createListDataCentresQuery(context: CliContext) {
  return defineCommand({
    meta: {
      name: 'list',
      description: 'List the data centres with their endpoints and running requests',
    },
    args: operatorArgs,
    run: ({ args }) => runQuery(context, args, listDataCentres, formatDataCentres),
  });
}

async function listDataCentres(client: OperatorClient): Promise<DataCentreView[]> {
  const [state, endpoints] = await Promise.all([client.readState(), client.listEndpoints()]);
  return Object.entries(state.config.dataCentres).map(([id, { region }]) => {
    const local = endpoints.filter(({ dataCentre }) => dataCentre === id);
    return {
      id,
      region,
      out: state.dataCentresOut.some((out) => out === id),
      endpoints: local.length,
      running: local.reduce((sum, { running }) => sum + running, 0),
    };
  });
}

function formatDataCentres(views: DataCentreView[]): string {
  return formatTable(
    ['data centre', 'region', 'state', 'endpoints', 'running'],
    views.map(({ id, region, out, endpoints, running }) => [
      id,
      region,
      out ? 'out' : 'in',
      endpoints,
      running,
    ]),
  );
}
