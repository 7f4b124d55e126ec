import type { ServiceConfig } from '@vanillarelay/core';
import { buildRequestKind } from './build-request-kind.js';
import type { Questionnaire } from './questionnaire.js';

/**
 * Load limit of an endpoint, as a multiple of the mean load, for services whose conversations
 * continue after pauses. A higher limit lets returning chats reuse more of the cache.
 */
const returningChatLoadMultiple = 2;
const defaultLoadMultiple = 1.5;

/**
 * Builds the configuration of a service. Kinds with longer path prefixes come first, because the
 * first match applies.
 */
export function buildService(answers: Questionnaire['services'][number]): ServiceConfig {
  const { backEnd, requestsWhileStarting, firstWordMs, conversationsReturn, requests } = answers;
  const sorted = [...requests].sort((a, b) => b.path.length - a.path.length);
  return {
    type: backEnd === 'model' ? 'model' : 'plain',
    loadMultiple: conversationsReturn ? returningChatLoadMultiple : defaultLoadMultiple,
    coldLimit: requestsWhileStarting,
    firstByteMs: firstWordMs,
    kinds: Object.fromEntries(sorted.map((request) => [request.name, buildRequestKind(request)])),
  };
}
