import type { ServiceId } from '@vanillarelay/core';
import type { WorkRequest } from '@vanillarelay/scheduling';
import type { RoutedRequest } from '../routed-request.js';

/** Builds what the work of a request is estimated from. */
export function buildWorkRequest(
  { facts, route }: Pick<RoutedRequest, 'facts' | 'route'>,
  service: ServiceId,
): WorkRequest {
  const { promptTokens, maxOutputTokens, outputTokensHint } = facts;
  return {
    ...{ service, route: route.name, promptTokens: route.hasPrompt ? promptTokens : 0 },
    promptParts: route.hasPrompt ? facts.promptParts : [],
    ...(maxOutputTokens === undefined ? {} : { maxOutputTokens }),
    ...(outputTokensHint === undefined ? {} : { outputTokensHint }),
  };
}
