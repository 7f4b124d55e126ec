import { replaceFile } from '@vanillarelay/control';
import {
  RelayError,
  ResultCode,
  type Clock,
  type Disk,
  type EventDetails,
} from '@vanillarelay/core';
import { listValidRecords, type EndpointTable } from '@vanillarelay/routing';

interface EndpointPersistenceOptions {
  clock: Clock;
  table: EndpointTable;
  openDisk: () => Promise<Disk>;
  record: (name: string, details?: EventDetails) => void;
  signal: AbortSignal;
}

const fileName = 'endpoints';
/** Changes within this time are written together. */
const writeDelayMs = 20;
const retryDelayMs = 1_000;
/** Maximum time of one wait for a change. */
const changeWaitMs = 60_000;

/**
 * Creates the copy of the known endpoints on disk. It is loaded at start and written back after
 * changes, so that after a power loss of the whole fleet requests can be sent before every endpoint
 * has announced itself again. A stale record of an endpoint that was replaced is harmless, as the
 * new one refuses the request; a departure is acknowledged only once it is durable.
 */
export function createEndpointPersistence(options: EndpointPersistenceOptions) {
  const { clock, table, record, signal } = options;
  const waiting = new Set<() => void>();
  /** Position of the newest change of the table that is durable. */
  let durableChange = -1;
  let changed = new AbortController();
  const wake = () => changed.abort();

  const write = async (disk: Disk): Promise<void> => {
    const { records, cursor } = table.listChanges(0);
    await replaceFile(disk, fileName, [Buffer.from(JSON.stringify(records))]);
    durableChange = cursor;
    waiting.forEach((release) => release());
  };

  const run = async (): Promise<void> => {
    const disk = await openEndpointDisk(options);
    if (!disk) return;
    table.observe(wake);
    signal.addEventListener('abort', wake, { once: true });
    while (!signal.aborted) {
      if (table.readLastChange() <= durableChange) await clock.wait(changeWaitMs, changed.signal);
      changed = new AbortController();
      if (table.readLastChange() <= durableChange) continue;
      await clock.wait(writeDelayMs, signal);
      try {
        await write(disk);
      } catch (error) {
        record('endpoints.notKept', { reason: (error as Error).message });
        await clock.wait(retryDelayMs, signal);
      }
    }
  };

  return {
    run,
    /** Resolves once all changes of the table up to now are durable, or the signal aborts. */
    waitUntilDurable: (abandoned: AbortSignal): Promise<void> => {
      const change = table.readLastChange();
      return new Promise((resolve, reject) => {
        const settle = () => {
          if (durableChange < change && !abandoned.aborted) return;
          waiting.delete(settle);
          abandoned.removeEventListener('abort', settle);
          if (durableChange >= change) resolve();
          else
            reject(new RelayError(ResultCode.storageFailed, 'the endpoint record is not stored'));
        };
        waiting.add(settle);
        abandoned.addEventListener('abort', settle, { once: true });
        settle();
      });
    },
  };
}

async function openEndpointDisk(options: EndpointPersistenceOptions): Promise<Disk | undefined> {
  const { clock, table, openDisk, record, signal } = options;
  while (!signal.aborted) {
    try {
      const disk = await openDisk();
      const bytes = await disk.read(fileName);
      if (bytes) mergeStored(table, Buffer.from(bytes).toString(), record);
      return disk;
    } catch (error) {
      record('endpoints.notRead', { reason: (error as Error).message });
      await clock.wait(retryDelayMs, signal);
    }
  }
  return undefined;
}

function mergeStored(
  table: EndpointTable,
  text: string,
  record: EndpointPersistenceOptions['record'],
): void {
  try {
    const stored = listValidRecords(JSON.parse(text), (reason) =>
      record('endpoint.invalid', { from: fileName, reason }),
    );
    stored.forEach((endpoint) => table.merge(endpoint));
    record('endpoints.read', { count: stored.length });
  } catch (error) {
    // A power loss can truncate a write; the endpoints announce themselves again within seconds.
    record('endpoints.unreadable', { reason: (error as Error).message });
  }
}
