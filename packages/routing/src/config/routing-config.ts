import type { CallerBounds } from './caller-bounds.js';
import type { RoutedAccount } from './routed-account.js';
import type { RoutedService } from './routed-service.js';
import type { Route } from './route.js';

/** A whole configuration of routes; a higher version replaces a lower one. */
export interface RoutingConfig {
  version: number;
  routes: Route[];
  services: RoutedService[];
  accounts: RoutedAccount[];
  bounds: CallerBounds;
}
