import {
  RelayError,
  ResultCode,
  type AccountId,
  type FleetConfig,
  type RequestId,
} from '@vanillarelay/core';
import type { CallerRequest } from '../caller-request.js';
import { hashContent } from './hash-content.js';
import { parseDeadline } from './parse-deadline.js';
import { parseIdempotencyKey } from './parse-idempotency-key.js';
import type { ParsedRequest } from './parsed-request.js';
import { parseTarget } from './parse-target.js';
import { selectHeaders } from './select-headers.js';

interface ParseInput {
  request: CallerRequest;
  requestId: RequestId;
  account: AccountId;
  config: FleetConfig;
}

/** Parses a caller's request and checks it against the configuration. */
export function parseRequest(input: ParseInput): ParsedRequest {
  const { request, requestId, account, config } = input;
  const { service, path, chat, resumable, isCompletion, isChatInBody } = parseTarget(request);
  const serviceConfig = config.services[service];
  if (!serviceConfig) {
    throw new RelayError(ResultCode.unknownService, `no service '${service}'`, { notRun: true });
  }
  if (!config.accounts[account]?.services.includes(service)) {
    throw new RelayError(
      ResultCode.serviceNotAllowed,
      `account '${account}' may not call service '${service}'`,
      { notRun: true },
    );
  }
  const matchingKind = Object.entries(serviceConfig.kinds).find(
    ([, { methods, pathPrefix }]) =>
      methods.includes(request.method) && path.startsWith(pathPrefix),
  );
  if (!matchingKind) {
    throw new RelayError(
      ResultCode.unknownPath,
      `service '${service}' has no request kind for ${request.method} ${path}`,
      { notRun: true },
    );
  }
  const [kind, { idempotent, mustArrive, priority, deadlineMs }] = matchingKind;
  const { method, headers, body } = request;
  const content = { account, method, path, body, ...(isChatInBody ? { chatInBody: chat } : {}) };
  return {
    requestId,
    account,
    service,
    kind,
    idempotent,
    mustArrive,
    priority,
    deadlineMs: parseDeadline(headers['x-deadline-ms'], deadlineMs),
    ...(chat ? { chat } : {}),
    resumable,
    isCompletion,
    ...(idempotent
      ? {}
      : { idempotencyKey: parseIdempotencyKey(headers['idempotency-key'], kind) }),
    ...hashContent(content),
    method,
    path,
    headers: selectHeaders(headers, isCompletion),
    body,
  };
}
