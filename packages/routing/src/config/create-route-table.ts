import type { ServiceId } from '@vanillarelay/core';
import type { HostName } from './host-name.js';
import type { RoutedAccount } from './routed-account.js';
import type { RoutedService } from './routed-service.js';
import type { Route } from './route.js';
import type { RoutingConfig } from './routing-config.js';
import { toHostName } from './to-host-name.js';

/** Creates the table that finds the routes, accounts and services of a configuration. */
export function createRouteTable(config: RoutingConfig) {
  const routesByHost = new Map<HostName, Route[]>();
  config.routes.forEach((route) => {
    const { host } = route;
    routesByHost.set(host, [...(routesByHost.get(host) ?? []), route]);
  });
  routesByHost.forEach((routes) =>
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length),
  );
  const accounts = new Map<string, RoutedAccount>();
  config.accounts.forEach((account) => account.keys.forEach((key) => accounts.set(key, account)));
  const services = new Map<ServiceId, RoutedService>();
  config.services.forEach((service) => services.set(service.id, service));
  return {
    config,
    /** The route of this host with the longest prefix of the path. */
    findRoute: (host: string, path: string): Route | undefined =>
      findHostRoutes(routesByHost, host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
    findAccount: (key: string): RoutedAccount | undefined => accounts.get(key),
    findService: (id: ServiceId): RoutedService | undefined => services.get(id),
  };
}

/** Routes of a host. The port of the Host header is ignored unless a route includes it. */
function findHostRoutes(
  routesByHost: ReadonlyMap<HostName, Route[]>,
  host: string,
): Route[] | undefined {
  return (
    routesByHost.get(toHostName(host)) ?? routesByHost.get(toHostName(host.replace(/:\d+$/, '')))
  );
}
