import type { AccountId } from '../ids/account-id.js';
import type { AttemptId } from '../ids/attempt-id.js';
import type { ChatId } from '../ids/chat-id.js';
import type { Fingerprint } from '../ids/fingerprint.js';
import type { RequestId } from '../ids/request-id.js';
import type { ServiceId } from '../ids/service-id.js';
import type { HlcTime } from '../time/hlc-time.js';

/** A request on its way from an entry to an agent. */
export interface DispatchRequest {
  requestId: RequestId;
  attemptId: AttemptId;
  account: AccountId;
  service: ServiceId;
  /** Name of the request kind in the service's configuration. */
  kind: string;
  idempotent: boolean;
  /** Whether it waits in the agent's queue until its deadline. */
  mustArrive: boolean;
  /** How long the request may wait for room, in milliseconds; absent leaves it to the agent. */
  patienceMs?: number;
  priority: number;
  /** Time left when the entry sent it, in milliseconds; durations survive clock differences. */
  remainingMs: number;
  chat?: ChatId;
  /** Set when the caller may resume the answer after a broken connection. */
  resumable: boolean;
  /** Take the chat over even though another endpoint holds it. */
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
