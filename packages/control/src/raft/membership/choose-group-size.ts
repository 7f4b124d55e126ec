/** Smallest group that bears the loss of a voter. */
const minRedundantSize = 3;

/**
 * Chooses the number of voters that a group keeps, from the number that it has. It is odd, because
 * one voter more than an odd number bears no further loss. A single voter has no other to keep; two
 * are a group of three whose third voter is still to join.
 */
export function chooseGroupSize(voters: number): number {
  if (voters <= 1) return voters;
  const odd = voters % 2 === 1 ? voters : voters - 1;
  return Math.max(odd, minRedundantSize);
}
