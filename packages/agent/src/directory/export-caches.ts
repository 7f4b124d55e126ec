import type { AgentPeer, Clock, EndpointClient, ServiceId, Timeline } from '@vanillarelay/core';
import type { ChatDirectory } from './chat-directory.js';

interface ExportCachesOptions {
  service: ServiceId;
  clock: Clock;
  timeline: Timeline;
  directory: ChatDirectory;
  endpoint: EndpointClient;
  openAgent: (address: string) => AgentPeer;
}

const chatLimit = 512;
const concurrency = 4;
const exportTimeoutMs = 10_000;

/** Transfers the caches of the most recent chats to their successors; returns how many moved. */
export async function exportCaches(options: ExportCachesOptions): Promise<number> {
  const { service, clock, timeline, directory, endpoint, openAgent } = options;
  const pending = directory.listHeld().slice(0, chatLimit);
  const timeout = new AbortController();
  const cancelTimer = clock.startTimer(exportTimeoutMs, () => timeout.abort());
  let moved = 0;

  const sendCache = async ([chat, { tokens }]: (typeof pending)[number]): Promise<void> => {
    const successor = directory.findSuccessor(chat);
    if (!successor) return;
    const cache = await endpoint.exportCache(chat);
    if (!cache) return;
    const transfer = { service, chat, tokens };
    await openAgent(successor.address).importCache(transfer, cache, timeout.signal);
    directory.removeHeld(chat);
    moved += 1;
  };

  const runWorker = async (): Promise<void> => {
    for (let entry = pending.shift(); entry && !timeout.signal.aborted; entry = pending.shift()) {
      // The prompt of a cache that cannot be transferred is recomputed at the successor.
      await sendCache(entry).catch(() => {});
    }
  };

  const timedOut = new Promise<void>((resolve) => {
    timeout.signal.addEventListener('abort', () => resolve(), { once: true });
  });
  const workers = Promise.all(Array.from({ length: concurrency }, runWorker));
  await Promise.race([workers, timedOut]);
  cancelTimer();
  timeline.record('caches.moved', { moved, left: pending.length });
  return moved;
}
