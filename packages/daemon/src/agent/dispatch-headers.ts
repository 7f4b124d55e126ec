/** Names of the headers of messages between entries and agents. */
export const dispatchHeaders = {
  request: 'x-relay-request',
  reply: 'x-relay-reply',
  key: 'x-relay-key',
} as const;
