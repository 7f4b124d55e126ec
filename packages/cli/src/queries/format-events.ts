import type { TimelineEvent } from '@vanillarelay/core';
import { formatList } from '../format/format-list.js';
import { formatTable } from '../format/format-table.js';

/** Formats events as a table, and lists the processes that did not answer. */
export function formatEvents(value: { events: TimelineEvent[]; missing: string[] }): string {
  const rows = value.events.map((event) => [
    event.at,
    event.process,
    event.dataCentre,
    event.name,
    event.requestId,
    Object.entries(event.details ?? {})
      .map(([key, detail]) => `${key}=${detail}`)
      .join(' '),
  ]);
  const table = formatTable(
    ['time', 'process', 'data centre', 'event', 'request', 'details'],
    rows,
  );
  return value.missing.length > 0 ? `${table}\nno answer: ${formatList(value.missing)}` : table;
}
