import type { Clock, DaemonId, DataCentreId, Hash, Random } from '@vanillarelay/core';
import type { Observations } from '@vanillarelay/fleet';
import {
  createColdPacer,
  createCrashRecord,
  createHealthTracker,
  createLoadView,
  createRetryBudget,
  createRouteTable,
  type EndpointTable,
  type RouteTable,
  type RoutingConfig,
} from '@vanillarelay/routing';
import { createConnectionPool } from './dispatch/create-connection-pool.js';
import type { RequestResult } from './requests/request-result.js';
import type { RoutedRequest } from './requests/routed-request.js';
import { runRequest } from './requests/run-request.js';
import type { RouterWire } from './wire/router-wire.js';

interface RouterOptions {
  clock: Clock;
  random: Random;
  hash: Hash;
  self: DaemonId;
  dataCentre: DataCentreId;
  wire: RouterWire;
  endpoints: EndpointTable;
  listRouters: () => readonly DaemonId[];
  retryRatio: number;
  retryWindowMs: number;
  retryExtra: number;
  coldMultiplier: number;
  coldSlack: number;
}

/** Makes the part of a daemon that decides where requests run, with the state behind it. */
export function createRouter(options: RouterOptions) {
  const { clock, random, hash, self, dataCentre, wire, endpoints, listRouters } = options;
  let table: RouteTable | undefined;
  let out: ReadonlySet<DataCentreId> = new Set();
  const loads = createLoadView();
  const parts = {
    ...{ clock, random, hash, dataCentre, wire, endpoints, loads },
    pool: createConnectionPool(),
    health: createHealthTracker(clock),
    crashes: createCrashRecord(clock),
    budget: createRetryBudget({
      clock,
      ratio: options.retryRatio,
      windowMs: options.retryWindowMs,
      extra: options.retryExtra,
      countRouters: () => listRouters().length,
    }),
    pacer: createColdPacer({
      ...{ clock, hash, self, listRouters },
      multiplier: options.coldMultiplier,
      slack: options.coldSlack,
    }),
    isDataCentreOut: (id: DataCentreId) => out.has(id),
  };
  return {
    /** What this daemon's requests hold and show of endpoints, for the other daemons. */
    readObservations: (): Observations => ({
      loads: loads.readOwn(),
      outcomes: parts.health.readOwn(),
      crashes: parts.crashes.readOwn(),
    }),
    updateObservations: ({ loads: counts, outcomes, crashes }: Observations): void => {
      loads.updateOthers(counts);
      parts.health.updateOthers(outcomes);
      parts.crashes.updateOthers(crashes);
    },
    readTable: () => table,
    /** Gauges of the repeats that each service has left in its window. */
    readRepeatsLeft: (): Record<string, number> =>
      Object.fromEntries(
        (table?.config.services ?? []).map(({ id }) => [
          `relay_repeats_left{service="${id}"}`,
          parts.budget.readLeft(id),
        ]),
      ),
    updateConfig: (config: RoutingConfig): void => {
      if (table && config.version <= table.config.version) return;
      table = createRouteTable(config);
    },
    /** Takes the data centres that are out; those that come back count as cold. */
    updateDataCentresOut: (ids: readonly DataCentreId[]): void => {
      const next = new Set(ids);
      const findColdMs = (service: Parameters<RouteTable['findService']>[0]) =>
        table?.findService(service)?.coldPeriodMs ?? 0;
      out.forEach((id) => {
        if (!next.has(id)) endpoints.markCold(id, findColdMs);
      });
      out = next;
    },
    run: (request: RoutedRequest): Promise<RequestResult> => runRequest(parts, request),
  };
}
