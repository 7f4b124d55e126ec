import type { Fingerprint } from '@vanillarelay/core';
import { buildFingerprint } from './build-fingerprint.js';
import type { RoutedRequest } from './routed-request.js';
import type { RunState } from './run-state.js';

/** Returns the hash of a request's content, computed on first use. */
export function readFingerprint(request: RoutedRequest, state: RunState): Fingerprint {
  state.fingerprint ??= buildFingerprint(request);
  return state.fingerprint;
}
