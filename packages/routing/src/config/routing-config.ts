import type { CallerLimits } from './caller-limits.js';
import type { RoutedAccount } from './routed-account.js';
import type { RoutedService } from './routed-service.js';
import type { Route } from './route.js';

/** A complete routing configuration; a higher version replaces a lower one. */
export interface RoutingConfig {
  version: number;
  routes: Route[];
  services: RoutedService[];
  accounts: RoutedAccount[];
  /**
   * Whether callers need a key of one of the accounts, except on public routes. It also holds for a
   * configuration that lists accounts and has none left: dropped keys let nobody in.
   */
  requiresKey: boolean;
  bounds: CallerLimits;
}
