/** Time limits of the contact states, in milliseconds; section 6.3 of the design. */
export const contactLimits = {
  /** Evidence of a quorum counts as contact with the quorum only up to this age. */
  quorumFreshMs: 2_000,
  /** Time after its latest evidence at which a daemon stops accepting requests. */
  leaseMs: 3_000,
} as const;
