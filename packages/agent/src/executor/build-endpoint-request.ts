import type { DispatchRequest, EndpointRequest } from '@vanillarelay/core';
import { buildChatKey } from '../directory/build-chat-key.js';

/** Builds the request for the endpoint; chats and idempotency keys get the account as a prefix. */
export function buildEndpointRequest(request: DispatchRequest): EndpointRequest {
  const { account, chat, idempotencyKey, idempotent, priority, method, path, body } = request;
  return {
    method,
    path,
    headers: {
      ...request.headers,
      'x-priority': String(priority),
      ...(chat ? { 'x-chat': buildChatKey(account, chat) } : {}),
      ...(idempotencyKey && !idempotent
        ? { 'idempotency-key': `${account}/${idempotencyKey}` }
        : {}),
    },
    body,
  };
}
