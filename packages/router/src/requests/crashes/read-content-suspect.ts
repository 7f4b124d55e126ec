import type { SuspectId } from '@vanillarelay/core';
import { buildContentSuspect } from './build-content-suspect.js';
import type { RoutedRequest } from '../routed-request.js';
import type { RunState } from '../run-state.js';

/** Returns the hash of a request's content, computed on first use. */
export function readContentSuspect(request: RoutedRequest, state: RunState): SuspectId {
  state.contentSuspect ??= buildContentSuspect(request);
  return state.contentSuspect;
}
