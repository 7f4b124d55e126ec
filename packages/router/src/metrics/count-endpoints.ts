import type { EndpointTable } from '@vanillarelay/routing';

/** Gauges of the known endpoints by state; a silent one counts only as silent. */
export function countEndpoints(endpoints: Pick<EndpointTable, 'listAll'>): Record<string, number> {
  const counts = { ready: 0, leaving: 0, gone: 0, silent: 0 };
  endpoints.listAll().forEach(({ record }) => {
    counts[record.isSilent ? 'silent' : record.state] += 1;
  });
  return Object.fromEntries(
    Object.entries(counts).map(([state, count]) => [`relay_endpoints{state="${state}"}`, count]),
  );
}
