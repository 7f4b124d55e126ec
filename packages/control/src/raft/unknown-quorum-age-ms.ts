/** Quorum age of a node that has never known of a quorum; finite, since it travels as JSON. */
export const unknownQuorumAgeMs = 2 ** 31;
