import type { ServiceId } from '@vanillarelay/core';
import type { ServiceQueue } from './service-queue.js';

/** Builds the gauges of the requests that wait for a service, and the counts of what was decided. */
export function buildWaitGauges(
  service: ServiceId,
  { list, refusalCounts, holdCounts }: Pick<ServiceQueue, 'list' | 'refusalCounts' | 'holdCounts'>,
  now: number,
): Record<string, number> {
  const gauges: Record<string, number> = {};
  const waiting = list();
  waiting.forEach(({ urgency }) => {
    const name = `relay_waiting{service="${service}",urgency="${urgency}"}`;
    gauges[name] = (gauges[name] ?? 0) + 1;
  });
  const oldestAt = Math.min(now, ...waiting.map(({ arrivedAt }) => arrivedAt));
  gauges[`relay_waiting_oldest_ms{service="${service}"}`] = Math.round(now - oldestAt);
  Object.entries(refusalCounts).forEach(([rule, count]) => {
    gauges[`relay_wait_refusals_total{service="${service}",rule="${rule}"}`] = count;
  });
  Object.entries(holdCounts).forEach(([reason, count]) => {
    gauges[`relay_held_back_total{service="${service}",reason="${reason}"}`] = count;
  });
  return gauges;
}
