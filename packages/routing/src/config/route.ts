import type { HostName } from './host-name.js';
import type { RetryPolicy } from './retry-policy.js';
import type { RouteTarget } from './route-target.js';

/** Maps requests to services and sets how these requests are handled. */
export interface Route {
  name: string;
  host: HostName;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  repeat: RetryPolicy;
  /** Whether answers are event streams, which are relayed as they arrive. */
  isStream: boolean;
  /** Whether an interrupted stream may be resumed at another endpoint after its last event. */
  isResumable: boolean;
  /** Whether requests identify the parts of their prompt, which engines cache. */
  hasPrompt: boolean;
  /** Time limit of a request, in milliseconds. */
  timeoutMs: number;
  /** Target time to the answer, or to its first event, in milliseconds. */
  objectiveMs: number;
  /** Longest acceptable pause between two events, in milliseconds. */
  maxPauseMs: number;
  /** Priority of the route's requests; 0 is the most urgent. */
  priority: number;
  /** Maximum number of endpoints that one request may run on. */
  maxEndpoints: number;
  /** Whether callers without a key may use the route. */
  isPublic: boolean;
  targets: RouteTarget[];
}
