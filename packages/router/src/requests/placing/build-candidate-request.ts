import type { RoutedRequest } from '../routed-request.js';
import type { RunState } from '../run-state.js';
import type { CandidateRequest } from './candidate-request.js';

/** Builds what decides which endpoints may take a request. */
export function buildCandidateRequest(
  { facts }: Pick<RoutedRequest, 'facts'>,
  { affinityKey, tried, memoryNeed }: Pick<RunState, 'affinityKey' | 'tried' | 'memoryNeed'>,
): CandidateRequest {
  return { key: affinityKey ?? facts.id, tried, memoryNeed };
}
