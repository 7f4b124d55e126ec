import type { Route, RoutedAccount, RouteTable } from '@vanillarelay/routing';
import type { RequestFacts } from '../wire/request-facts.js';
import type { Caller } from './caller.js';

/** A request that has been read and matched to a route. */
export interface RoutedRequest {
  method: string;
  path: string;
  facts: RequestFacts;
  body: Uint8Array;
  table: RouteTable;
  route: Route;
  account?: RoutedAccount;
  caller: Caller;
  /** Monotonic time at which it reached the VM, as estimated. */
  startedAt: number;
  /** How long it then lay unread, because this process was late. */
  readDelayMs: number;
}
