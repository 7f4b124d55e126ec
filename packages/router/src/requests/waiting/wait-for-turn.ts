import type { RoutedRequest } from '../routed-request.js';
import type { RouterContext } from '../router-context.js';
import type { RunState } from '../run-state.js';
import { findUrgency } from './find-urgency.js';

/** Waits until a request may be sent, and records how late this router is with a new one. */
export async function waitForTurn(
  { clock, sendQueue, recordDelay }: RouterContext,
  request: RoutedRequest,
  { result, signal, deadlineAt }: RunState,
): Promise<void> {
  const startedAt = clock.monotonic();
  await sendQueue.waitForTurn({ priority: findUrgency(request), deadlineAt, signal });
  const isFirstTurn = result.waitedMs === undefined && result.sends.length === 0;
  if (isFirstTurn) recordDelay(request.readDelayMs + clock.monotonic() - startedAt);
}
