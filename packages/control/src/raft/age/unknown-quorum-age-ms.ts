/** Quorum age of a node that has never seen a quorum; finite, because it is sent as JSON. */
export const unknownQuorumAgeMs = 2 ** 31;
