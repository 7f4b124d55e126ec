import type { RepeatRule } from './repeat-rule.js';
import type { RouteTarget } from './route-target.js';

/** Which requests go to which services, and how each may be treated. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  repeat: RepeatRule;
  /** Whether answers are event streams that are passed on as they arrive. */
  isStream: boolean;
  /** Whether a stream may go on at another endpoint after its last event. */
  isResumable: boolean;
  /** Whether requests name the parts of their prompt, which engines keep in their cache. */
  hasPrompt: boolean;
  /** Longest time that a request is kept, in milliseconds. */
  timeoutMs: number;
  /** Time within which the answer, or its first event, is wanted, in milliseconds. */
  objectiveMs: number;
  /** Longest pause between events that is still on time, in milliseconds. */
  maxPauseMs: number;
  /** Rank of its requests; 0 is the most urgent. */
  priority: number;
  /** Most endpoints that one request may run on. */
  maxEndpoints: number;
  /** Whether it is open to callers without a key. */
  isPublic: boolean;
  targets: RouteTarget[];
}
