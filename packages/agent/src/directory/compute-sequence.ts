import type { HlcTime } from '@vanillarelay/core';

const counterRange = 1_000;

/**
 * Computes the sequence of a chat's move, a number that increases with the hybrid logical clock.
 * Agents on VMs whose clocks differ thus agree on which move is the later one, because the messages
 * of a move carry the time.
 */
export function computeSequence(at: HlcTime): number {
  const [ms = 0, counter = 0] = at.split('.').map(Number);
  return ms * counterRange + Math.min(counter, counterRange - 1);
}
