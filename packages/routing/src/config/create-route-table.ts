import type { ServiceId } from '@vanillarelay/core';
import type { RoutedAccount } from './routed-account.js';
import type { RoutedService } from './routed-service.js';
import type { Route } from './route.js';
import type { RoutingConfig } from './routing-config.js';

/** Makes the look-ups of one configuration. */
export function createRouteTable(config: RoutingConfig) {
  const hosts = new Map<string, Route[]>();
  config.routes.forEach((route) => {
    const host = route.host.toLowerCase();
    hosts.set(host, [...(hosts.get(host) ?? []), route]);
  });
  hosts.forEach((routes) => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  const accounts = new Map<string, RoutedAccount>();
  config.accounts.forEach((account) => account.keys.forEach((key) => accounts.set(key, account)));
  const services = new Map<ServiceId, RoutedService>();
  config.services.forEach((service) => services.set(service.id, service));
  return {
    config,
    /** The route of this host with the longest prefix of the path. */
    findRoute: (host: string, path: string): Route | undefined =>
      findHost(hosts, host.toLowerCase())?.find(({ pathPrefix }) => path.startsWith(pathPrefix)),
    findAccount: (key: string): RoutedAccount | undefined => accounts.get(key),
    findService: (id: ServiceId): RoutedService | undefined => services.get(id),
  };
}

/** Routes of a host; a port in the caller's header does not matter unless a route names it. */
function findHost(hosts: Map<string, Route[]>, host: string): Route[] | undefined {
  return hosts.get(host) ?? hosts.get(host.replace(/:\d+$/, ''));
}
