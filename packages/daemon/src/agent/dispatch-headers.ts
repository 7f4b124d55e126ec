/** Names of the headers between entry and agent. */
export const dispatchHeaders = {
  request: 'x-relay-request',
  reply: 'x-relay-reply',
  key: 'x-relay-key',
} as const;
