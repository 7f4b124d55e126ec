import type { MemoryBudget } from '../memory/memory-budget.js';

/** Gauges of the memory of this process, and of what it holds for others. */
export function buildMemoryGauges(memory: MemoryBudget): Record<string, number> {
  const { rss, heapUsed, arrayBuffers } = process.memoryUsage();
  const held = Object.entries(memory).map(([part, { readHeldBytes }]): [string, number] => [
    `relay_held_bytes{part="${part}"}`,
    (readHeldBytes as () => number)(),
  ]);
  return {
    ...{ relay_memory_bytes: rss, relay_heap_bytes: heapUsed, relay_buffer_bytes: arrayBuffers },
    ...Object.fromEntries(held),
  };
}
