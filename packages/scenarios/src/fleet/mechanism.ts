/**
 * A mechanism that a scenario can disable, to show that the scenario fails without it. The router
 * has no such setting: the in-process fleet passes in replacements instead.
 */
export type Mechanism =
  /** Claims of idempotency keys, which agents propose. */
  | 'claims'
  /** Voids of attempts. */
  | 'voids'
  /** Data centres that an operator takes out. */
  | 'takeOut'
  /** Loss of contact; without it, a daemon is `attached` from its first state on. */
  | 'contact'
  /** Syncs of the files of control nodes. */
  | 'sync'
  /** Limit of running requests at an endpoint, as a multiple of the mean over the service. */
  | 'loadBound'
  /** Limit of running requests at a cold endpoint. */
  | 'coldLimit'
  /** Waiting for running requests in a graceful shutdown. */
  | 'drain'
  /** Endpoints that an operator drains. */
  | 'draining'
  /** The end marker by which a caller recognizes a complete stream. */
  | 'streamEnd'
  /** Crash marks in the state. */
  | 'marks';
