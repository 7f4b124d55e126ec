/** Bytes a second that the exchanges of one daemon may take, connection overhead included. */
const budgetBytesPerSecond = 1_500;
/** Report, frame without membership and loads, and TCP headers. */
const fixedBytes = 900;
const minPeriodMs = 250;
const maxPeriodMs = 1_000;

/** Time for which a hub holds an exchange: the larger the frame, the longer. */
export function computePeriod(frameBytes: number): number {
  const periodMs = ((fixedBytes + frameBytes) / budgetBytesPerSecond) * 1_000;
  return Math.min(maxPeriodMs, Math.max(minPeriodMs, periodMs));
}
