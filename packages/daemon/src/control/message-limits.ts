/** Size limits of control messages. */
export const messageLimits = {
  /** More than the whole state with 1,200 accounts and the membership of 1,600 endpoints takes. */
  payloadBytes: 8 * 1024 * 1024,
  textLength: 256,
  services: 1_000,
  accounts: 10_000,
  members: 20_000,
  /** Log entries in one message; the size in bytes of a batch is limited as well. */
  entries: 10_000,
} as const;
