import { RelayError, ResultCode } from '@vanillarelay/core';
import type { Route } from './route.js';
import type { RoutingConfig } from './routing-config.js';

/** Throws `invalidConfig` for the first invalid or ambiguous setting of a configuration. */
export function checkRoutingConfig({ routes, services, accounts }: RoutingConfig): void {
  const known = new Set(services.map(({ id }) => id));
  if (known.size !== services.length) refuse('services: an id appears twice');
  const locations = new Set<string>();
  routes.forEach((route) => {
    checkRoute(route, known);
    const location = `${route.host} ${route.pathPrefix}`;
    if (locations.has(location)) refuse(`routes.${route.name}: another route has ${location}`);
    locations.add(location);
  });
  const owners = new Map<string, string>();
  accounts.forEach(({ id, keys }) =>
    keys.forEach((key) => {
      const owner = owners.get(key);
      if (owner !== undefined && owner !== id) refuse(`accounts.${id}: shares a key with ${owner}`);
      owners.set(key, id);
    }),
  );
}

function checkRoute({ name, timeoutMs, pathPrefix, targets }: Route, known: Set<string>): void {
  if (!(timeoutMs > 0)) refuse(`routes.${name}: timeout is ${timeoutMs} ms, allowed: above 0`);
  if (!pathPrefix.startsWith('/') || !pathPrefix.endsWith('/')) {
    refuse(`routes.${name}: path prefix "${pathPrefix}" must begin and end with a slash`);
  }
  targets.forEach(({ service, weight }) => {
    if (!known.has(service)) refuse(`routes.${name}: service "${service}" is not known`);
    if (!(weight >= 0)) refuse(`routes.${name}: weight is ${weight}, allowed: 0 or more`);
  });
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  if (!(total > 0)) refuse(`routes.${name}: weights add up to ${total}, allowed: above 0`);
}

function refuse(message: string): never {
  throw new RelayError(ResultCode.invalidConfig, message, { notRun: true });
}
