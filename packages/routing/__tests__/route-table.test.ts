import { toId, type ServiceId } from '@vanillarelay/core';
import {
  checkRoutingConfig,
  createRouteTable,
  toHostName,
  type Route,
  type RoutingConfig,
} from '@vanillarelay/routing';
import { expect, it } from 'vitest';

const buildRoute = (name: string, host: string, pathPrefix = '/send/'): Route => ({
  ...{ name, host: toHostName(host), pathPrefix, repeat: 'nonIdempotent' },
  ...{ isStream: false, isResumable: false, hasPrompt: false, isPublic: false },
  ...{ timeoutMs: 1_000, objectiveMs: 200, maxPauseMs: 250, priority: 0, maxEndpoints: 1 },
  targets: [{ service: toId<ServiceId>(name), weight: 1 }],
});

const buildConfig = (routes: Route[]): RoutingConfig => ({
  ...{ version: 1, routes, accounts: [], requiresKey: false },
  services: routes.map(({ name }) => ({
    ...{ id: toId<ServiceId>(name), healthPath: '/health', maxConnections: 10 },
    ...{ coldPeriodMs: 0, coldRatePerS: 0, canCopyCache: false },
  })),
  bounds: {
    ...{ maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  },
});

// Guards against two routes for one host that are accepted because its case differs: one of them then
// gets the requests of both.
it('takes hosts that differ in case for the same one in the check and in the table', () => {
  const routes = [buildRoute('notices', 'desk.example'), buildRoute('orders', 'Desk.Example')];
  const config = buildConfig(routes);
  expect(() => checkRoutingConfig(config)).toThrowErrorMatchingInlineSnapshot(
    `[RelayError: routes.orders: another route has desk.example /send/]`,
  );
  const apart = buildConfig([routes[0] as Route, buildRoute('orders', 'Desk.Example', '/other/')]);
  expect(() => checkRoutingConfig(apart)).not.toThrow();
  const table = createRouteTable(apart);
  const find = (host: string, path: string) => table.findRoute(host, path)?.name;
  expect([
    find('desk.example', '/send/1'),
    find('DESK.example:8080', '/send/1'),
    find('desk.EXAMPLE', '/other/1'),
    find('shop.example', '/send/1'),
  ]).toEqual(['notices', 'notices', 'orders', undefined]);
});

// Guards against a daemon that no longer serves a configuration that an earlier version accepted.
it('serves the first of two routes for one host that were accepted before', () => {
  const routes = [buildRoute('notices', 'desk.example'), buildRoute('orders', 'Desk.Example')];
  const table = createRouteTable(buildConfig(routes));
  expect(table.findRoute('Desk.Example', '/send/1')?.name).toBe('notices');
});
