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

const maxExportedChats = 512;
const concurrentExports = 4;
const exportTimeoutMs = 10_000;

/** Transfers the caches of the most recent chats to their new endpoints; returns their number. */
export async function exportCaches(options: ExportCachesOptions): Promise<number> {
  const { service, clock, timeline, directory, endpoint, openAgent } = options;
  const pending = directory.listHeld().slice(0, maxExportedChats);
  const timeout = new AbortController();
  const cancelTimer = clock.startTimer(exportTimeoutMs, () => timeout.abort());
  let moved = 0;

  const sendCache = async ([chatKey, { tokens }]: (typeof pending)[number]): Promise<void> => {
    const successor = directory.findSuccessor(chatKey);
    if (!successor) return;
    const cache = await endpoint.exportCache(chatKey);
    if (!cache) return;
    const transfer = { service, chat: chatKey, tokens };
    await openAgent(successor.address).importCache(transfer, cache, timeout.signal);
    directory.removeHeld(chatKey);
    moved += 1;
  };

  const runWorker = async (): Promise<void> => {
    for (
      let heldChat = pending.shift();
      heldChat && !timeout.signal.aborted;
      heldChat = pending.shift()
    ) {
      // The prompt of a cache that cannot be transferred is recomputed at the successor.
      await sendCache(heldChat).catch(() => {});
    }
  };

  const timedOut = new Promise<void>((resolve) => {
    timeout.signal.addEventListener('abort', () => resolve(), { once: true });
  });
  const workers = Promise.all(Array.from({ length: concurrentExports }, runWorker));
  await Promise.race([workers, timedOut]);
  cancelTimer();
  timeline.record('caches.moved', { moved, left: pending.length });
  return moved;
}
