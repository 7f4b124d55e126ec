/** Whether more than half of the delays in a time slot are above the limit. */
export function isSlotLate(delays: readonly number[], limitMs: number): boolean {
  return delays.filter((delayMs) => delayMs > limitMs).length * 2 > delays.length;
}
