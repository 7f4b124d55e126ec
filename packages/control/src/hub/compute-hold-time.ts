/** Bytes a second that the exchanges of one daemon may take, connection overhead included. */
const budgetBytesPerSecond = 1_500;
/** Fixed size of an exchange: report, frame without membership and loads, and TCP headers. */
const fixedBytes = 900;
const minHoldMs = 250;
const maxHoldMs = 1_000;

/** Time for which a hub holds an exchange (a long poll): the larger the frame, the longer. */
export function computeHoldTime(loadBytes: number): number {
  const holdMs = ((fixedBytes + loadBytes) / budgetBytesPerSecond) * 1_000;
  return Math.min(maxHoldMs, Math.max(minHoldMs, holdMs));
}
