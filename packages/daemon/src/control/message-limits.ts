/** Size limits of control messages. */
export const messageLimits = {
  /** Above the whole state at 1,200 accounts and the membership of 1,600 endpoints. */
  payloadBytes: 8 * 1024 * 1024,
  textLength: 256,
  services: 1_000,
  accounts: 10_000,
  members: 20_000,
  /** Log entries in one message; a batch is bounded in bytes as well. */
  entries: 10_000,
} as const;
