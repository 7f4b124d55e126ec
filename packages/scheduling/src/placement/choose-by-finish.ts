import {
  chooseEndpoint,
  computeLoadBounds,
  selectUntried,
  type Candidate,
} from '@vanillarelay/routing';
import { chooseForPrompt } from './choose-for-prompt.js';
import { chooseLeastFinish } from './choose-least-finish.js';
import type { FinishOptions } from './finish-options.js';
import type { FinishPlacement } from './finish-placement.js';
import type { FinishRequest } from './finish-request.js';

/**
 * Chooses the endpoint for a request by when its first event is expected. Only healthy endpoints
 * below the bound on their load are compared; when there is none, the choice is that of
 * `chooseEndpoint`. Returns undefined when there is no candidate.
 */
export function chooseByFinish(
  candidates: readonly Candidate[],
  request: FinishRequest,
  options: FinishOptions,
): FinishPlacement | undefined {
  const healthy = selectUntried(candidates, request, options.hash).filter(
    ({ healthIssue }) => healthIssue === undefined,
  );
  const { upper } = computeLoadBounds(request.meanLoad);
  const choice =
    request.affinityKey === undefined
      ? chooseLeastFinish(
          healthy.filter(({ load }) => load < upper),
          request,
          options,
        )
      : chooseForPrompt(healthy, request.affinityKey, request, options);
  if (choice) return choice;
  const placement = chooseEndpoint(candidates, request, options);
  return placement && { ...placement, isHome: placement.reason === 'home' };
}
