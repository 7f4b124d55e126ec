/** Time limits of the contact states, in milliseconds; section 6.3 of the design. */
export const contactLimits = {
  /** A hub whose quorum is older does not count as attached to it. */
  quorumFreshMs: 2_000,
  /** Without newer evidence a daemon stops accepting work after this long. */
  leaseMs: 3_000,
} as const;
