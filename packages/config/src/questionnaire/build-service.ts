import type { ServiceConfig } from '@vanillarelay/core';
import { buildRequestKind } from './build-request-kind.js';
import type { Questionnaire } from './questionnaire.js';

/** Returning chats reuse more of the cache under a looser bound. */
const returningLoadMultiple = 2;
const evenLoadMultiple = 1.5;

/** The rules of a service; longer path prefixes come first, because the first match applies. */
export function buildService(answers: Questionnaire['services'][number]): ServiceConfig {
  const { backEnd, requestsWhileStarting, firstWordMs, conversationsReturn, requests } = answers;
  const sorted = [...requests].sort((a, b) => b.path.length - a.path.length);
  return {
    type: backEnd === 'model' ? 'model' : 'plain',
    loadMultiple: conversationsReturn ? returningLoadMultiple : evenLoadMultiple,
    coldLimit: requestsWhileStarting,
    firstByteMs: firstWordMs,
    kinds: Object.fromEntries(sorted.map((request) => [request.name, buildRequestKind(request)])),
  };
}
