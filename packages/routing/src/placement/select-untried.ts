import type { Hash } from '@vanillarelay/core';
import type { Candidate } from './candidate.js';
import { computePromptDraw } from './compute-prompt-draw.js';
import type { PlacementRequest } from './placement-request.js';

/**
 * Selects the endpoints that a request has not been sent to. Leaves out those whose request rate is
 * limited if the prompt is beyond the share they accept.
 */
export function selectUntried(
  candidates: readonly Candidate[],
  { tried, affinityKey }: Pick<PlacementRequest, 'tried' | 'affinityKey'>,
  hash: Hash,
): readonly Candidate[] {
  const untried = candidates.filter(({ id }) => !tried.has(id));
  if (affinityKey === undefined) return untried;
  const draw = computePromptDraw(hash, affinityKey);
  const accepting = untried.filter(({ promptShare = 1 }) => promptShare > draw);
  return accepting.length > 0 ? accepting : untried;
}
