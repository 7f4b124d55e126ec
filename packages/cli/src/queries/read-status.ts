import type { OperatorClient } from '@vanillarelay/daemon';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { operatorArgs } from '../context/operator-args.js';
import { formatList } from '../format/format-list.js';
import { formatTable } from '../format/format-table.js';
import { runQuery } from './run-query.js';

/** Creates the query `status`. */
export function createStatusQuery(context: CliContext) {
  return defineCommand({
    meta: {
      name: 'status',
      description: 'Show control nodes, daemons, services and what is out or draining',
    },
    args: operatorArgs,
    run: ({ args }) => runQuery(context, args, readStatus, formatStatus),
  });
}

async function readStatus(client: OperatorClient) {
  const [state, daemons, endpoints, controls] = await Promise.all([
    client.readState(),
    client.listDaemons(),
    client.listEndpoints(),
    client.listControls(),
  ]);
  const serviceNames = new Set([
    ...Object.keys(state.config.services),
    ...endpoints.map(({ service }) => service as string),
  ]);
  const services = [...serviceNames].map((service) => {
    const replicas = endpoints.filter((endpoint) => endpoint.service === service);
    const countStatus = (status: string) =>
      replicas.filter((replica) => replica.status === status).length;
    return {
      service,
      ready: countStatus('ready'),
      cold: countStatus('cold'),
      leaving: countStatus('leaving'),
      running: replicas.reduce((sum, { running }) => sum + running, 0),
      slots: replicas.reduce((sum, { slots }) => sum + slots, 0),
    };
  });
  return {
    stateVersion: state.version,
    configVersion: state.configVersion,
    daemons: daemons.length,
    behind: daemons.filter(({ version }) => version < state.version).map(({ daemon }) => daemon),
    dataCentresOut: state.dataCentresOut,
    draining: state.draining,
    marks: state.marks.length,
    controls,
    services,
  };
}

function formatStatus(status: Awaited<ReturnType<typeof readStatus>>): string {
  const { behind, controls, services } = status;
  return [
    `state version ${status.stateVersion}, configuration version ${status.configVersion}`,
    `daemons: ${status.daemons}, behind: ${formatList(behind)}`,
    `data centres out: ${formatList(status.dataCentresOut)}`,
    `endpoints draining: ${formatList(status.draining)}`,
    `crash marks: ${status.marks}`,
    '',
    formatTable(
      ['control', 'state version', 'error'],
      controls.map(({ address, version, error }) => [address, version, error]),
    ),
    '',
    formatTable(
      ['service', 'ready', 'cold', 'leaving', 'running', 'slots'],
      services.map((row) => [
        row.service,
        row.ready,
        row.cold,
        row.leaving,
        row.running,
        row.slots,
      ]),
    ),
  ].join('\n');
}
