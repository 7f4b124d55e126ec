import { writeWhole } from '@vanillarelay/control';
import type { Clock, Disk, EventDetails } from '@vanillarelay/core';
import type { EndpointRecord, EndpointTable } from '@vanillarelay/routing';

interface EndpointKeeperOptions {
  clock: Clock;
  table: EndpointTable;
  openDisk: () => Promise<Disk>;
  record: (name: string, details?: EventDetails) => void;
  signal: AbortSignal;
}

const fileName = 'endpoints';
/** Changes within this time share one write. */
const collectMs = 20;
const retryMs = 1_000;
const idleMs = 60_000;

/**
 * Keeps the known endpoints on disk and reads them at the start, so that a fleet that lost power as a
 * whole sends work before every endpoint has announced itself again. What is out of date does no
 * harm: an endpoint that was replaced refuses, and the next announcement corrects the record.
 */
export async function keepEndpoints(options: EndpointKeeperOptions): Promise<void> {
  const { clock, table, record, signal } = options;
  const disk = await openEndpointDisk(options);
  if (!disk) return;
  let isChanged = false;
  let changed = new AbortController();
  table.observe(() => {
    isChanged = true;
    changed.abort();
  });
  signal.addEventListener('abort', () => changed.abort(), { once: true });
  while (!signal.aborted) {
    if (!isChanged) await clock.wait(idleMs, changed.signal);
    changed = new AbortController();
    if (!isChanged) continue;
    await clock.wait(collectMs, signal);
    isChanged = false;
    try {
      await writeWhole(disk, fileName, [Buffer.from(JSON.stringify(table.listChanges(0)))]);
    } catch (error) {
      record('endpoints.notKept', { reason: (error as Error).message });
      isChanged = true;
      await clock.wait(retryMs, signal);
    }
  }
}

async function openEndpointDisk(options: EndpointKeeperOptions): Promise<Disk | undefined> {
  const { clock, table, openDisk, record, signal } = options;
  while (!signal.aborted) {
    try {
      const disk = await openDisk();
      const bytes = await disk.read(fileName);
      if (bytes) mergeKept(table, Buffer.from(bytes).toString(), record);
      return disk;
    } catch (error) {
      record('endpoints.notRead', { reason: (error as Error).message });
      await clock.wait(retryMs, signal);
    }
  }
  return undefined;
}

function mergeKept(
  table: EndpointTable,
  text: string,
  record: EndpointKeeperOptions['record'],
): void {
  try {
    const kept = JSON.parse(text) as EndpointRecord[];
    kept.forEach((entry) => table.merge(entry));
    record('endpoints.read', { count: kept.length });
  } catch (error) {
    // A write that lost power; the endpoints announce themselves within seconds.
    record('endpoints.unreadable', { reason: (error as Error).message });
  }
}
