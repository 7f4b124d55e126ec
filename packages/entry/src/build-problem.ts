import { findCodeName, ResultCode, type Refusal, type RequestId } from '@vanillarelay/core';
import type { CallerReply } from './caller-reply.js';

const millisecondsPerSecond = 1_000;

/** Builds the reply for a refusal, as `application/problem+json`. */
export function buildProblem(refusal: Refusal, requestId: RequestId): CallerReply {
  const status = findStatus(refusal.code);
  const problem = {
    type: `about:blank#${findCodeName(refusal.code)}`,
    title: refusal.message,
    status,
    code: refusal.code,
    notRun: refusal.notRun,
    outcome: refusal.notRun ? 'notRun' : 'unknown',
    retryAfterMs: refusal.retryAfterMs,
    requestId,
  };
  const headers: Record<string, string> = {
    'content-type': 'application/problem+json',
    'x-request-id': requestId,
  };
  if (refusal.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(refusal.retryAfterMs / millisecondsPerSecond));
  }
  async function* writeBody() {
    yield Buffer.from(JSON.stringify(problem));
  }
  return { status, headers, body: writeBody() };
}

function findStatus(code: ResultCode): number {
  if (code === ResultCode.unauthorized) return 401;
  if (code === ResultCode.serviceNotAllowed) return 403;
  if (code === ResultCode.unknownPath || code === ResultCode.unknownService) return 404;
  if (code === ResultCode.streamUnknown) return 404;
  if (code === ResultCode.slowCaller) return 408;
  if (code === ResultCode.bodyTooLarge) return 413;
  if (code === ResultCode.headersTooLarge) return 431;
  if (code === ResultCode.idempotencyKeyReused) return 422;
  if (code < ResultCode.accountLimit) return 400;
  if (code === ResultCode.accountLimit) return 429;
  if (code === ResultCode.deadlineExceeded || code === ResultCode.timeout) return 504;
  if (code >= ResultCode.outcomeUnknown && code < ResultCode.notLeader) return 502;
  return 503;
}
