import type { AccountId } from '../ids/account-id.js';
import type { AttemptId } from '../ids/attempt-id.js';
import type { ChatId } from '../ids/chat-id.js';
import type { Fingerprint } from '../ids/fingerprint.js';
import type { RequestId } from '../ids/request-id.js';
import type { ServiceId } from '../ids/service-id.js';
import type { HlcTime } from '../time/hlc-time.js';

/** A request that an entry sends to an agent. */
export interface DispatchRequest {
  requestId: RequestId;
  attemptId: AttemptId;
  account: AccountId;
  service: ServiceId;
  /** Name of the request kind in the service's configuration. */
  kind: string;
  idempotent: boolean;
  /** Whether the request may wait in the agent's queue until its deadline. */
  mustArrive: boolean;
  /** Maximum time in the agent's queue, in milliseconds; if absent, the agent decides. */
  patienceMs?: number;
  priority: number;
  /**
   * Time until the deadline when the entry sent the request, in milliseconds. A duration, because
   * the clocks of two VMs can differ.
   */
  remainingMs: number;
  chat?: ChatId;
  /** Whether the caller may resume the answer after a lost connection. */
  resumable: boolean;
  /** Whether to take the chat over although another endpoint holds it. */
  takeOver: boolean;
  idempotencyKey?: string;
  bodyHash: string;
  fingerprint: Fingerprint;
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  stateVersion: number;
  at: HlcTime;
}
