/** Time limits of the contact states, in milliseconds; section 6.3 of the design. */
export const contactLimits = {
  /** Evidence of a quorum counts as contact with the quorum only up to this age. */
  quorumFreshMs: 2_000,
  /** A daemon stops accepting requests this long after its latest evidence. */
  leaseMs: 3_000,
} as const;
