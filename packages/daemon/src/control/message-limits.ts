/** Limits on the sizes of control messages and of the lists in them. */
export const messageLimits = {
  /**
   * Maximum size of a WebSocket message; enough for the whole state with 1,200 accounts and the
   * membership of 1,600 endpoints.
   */
  payloadBytes: 8 * 1024 * 1024,
  /** Maximum length of an id, address or other short text, in characters. */
  textLength: 256,
  services: 1_000,
  accounts: 10_000,
  members: 20_000,
  /** Maximum number of log entries in a message; the size in bytes of a batch is limited as well. */
  entries: 10_000,
} as const;
