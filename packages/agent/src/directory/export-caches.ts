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
const moveLimitMs = 10_000;

/** Gives the caches of the most recent chats to their next endpoints; returns how many moved. */
export async function exportCaches(options: ExportCachesOptions): Promise<number> {
  const { service, clock, timeline, directory, endpoint, openAgent } = options;
  const waiting = directory.listHeld().slice(0, chatLimit);
  const giveUp = new AbortController();
  const cancelTimer = clock.startTimer(moveLimitMs, () => giveUp.abort());
  let moved = 0;

  const passCache = async ([chat, { tokens }]: (typeof waiting)[number]): Promise<void> => {
    const next = directory.findNext(chat);
    if (!next) return;
    const cache = await endpoint.exportCache(chat);
    if (!cache) return;
    const transfer = { service, chat, tokens };
    await openAgent(next.address).importCache(transfer, cache, giveUp.signal);
    directory.removeHeld(chat);
    moved += 1;
  };

  const runWorker = async (): Promise<void> => {
    for (let entry = waiting.shift(); entry && !giveUp.signal.aborted; entry = waiting.shift()) {
      // A cache that cannot be moved is computed afresh at the next endpoint.
      await passCache(entry).catch(() => {});
    }
  };

  const givenUp = new Promise<void>((resolve) => {
    giveUp.signal.addEventListener('abort', () => resolve(), { once: true });
  });
  const workers = Promise.all(Array.from({ length: concurrency }, runWorker));
  await Promise.race([workers, givenUp]);
  cancelTimer();
  timeline.record('caches.moved', { moved, left: waiting.length });
  return moved;
}
