import type { DispatchRequest, EndpointRequest } from '@vanillarelay/core';
import { buildChatKey } from '../directory/build-chat-key.js';

/** A request as the endpoint gets it; the account prefix keeps chats and keys of accounts apart. */
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
