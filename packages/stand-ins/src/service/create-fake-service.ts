import { hashSha256, type EndpointRequest } from '@vanillarelay/core';
import { buildJsonAnswer } from '../http/build-json-answer.js';
import type { FakeServiceOptions } from './fake-service-options.js';
import type { FakeService } from './fake-service.js';

/**
 * Creates a fake plain service. Each execution is counted by request identity before the delay of
 * the answer, so that a request cancelled during the delay still counts. The identity is the header
 * `idempotency-key`, or method, path and body hash.
 */
export function createFakeService(options: FakeServiceOptions): FakeService {
  const { clock, random, instance, answerMs = 5, slowShare = 0, slowMs = 2_000 } = options;
  const executions = new Map<string, number>();
  let running = 0;
  let total = 0;

  const run = async (request: EndpointRequest, signal: AbortSignal) => {
    const identity = buildIdentity(request);
    const count = (executions.get(identity) ?? 0) + 1;
    executions.set(identity, count);
    total += 1;
    const answer = { identity, executions: count, total, instance };
    running += 1;
    await clock.wait(random() < slowShare ? slowMs : answerMs, signal);
    running -= 1;
    return buildJsonAnswer(200, answer);
  };

  return {
    run,
    readHealth: async () => ({ instance, cold: false, running }),
    sendOrder: async () => {},
    exportCache: async () => undefined,
    importCache: async () => {},
    listExecutions: () => Object.fromEntries(executions),
    readRunning: () => running,
  };
}

function buildIdentity({ method, path, headers, body }: EndpointRequest): string {
  return headers['idempotency-key'] ?? `${method} ${path} ${hashSha256(body)}`;
}
