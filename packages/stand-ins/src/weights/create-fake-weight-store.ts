import {
  RelayError,
  ResultCode,
  type EndpointClient,
  type EndpointRequest,
} from '@vanillarelay/core';
import { buildJsonAnswer } from '../http/build-json-answer.js';
import type { FakeWeightStoreOptions } from './fake-weight-store-options.js';

const chunkBytes = 64 * 1024;
const millisecondsPerSecond = 1_000;

/** Creates a fake weight store that answers `GET /weights/<target>`; loads share its bandwidth. */
export function createFakeWeightStore(options: FakeWeightStoreOptions): EndpointClient {
  const {
    clock,
    instance,
    bytesPerSecond = 16 * 1024 * 1024,
    weightBytes = 8 * 1024 * 1024,
    maxLoads = 4,
  } = options;
  let loads = 0;
  /** Monotonic time at which all chunks scheduled so far will have been sent. */
  let busyUntil = 0;

  const waitForRate = async (bytes: number, signal: AbortSignal): Promise<void> => {
    const now = clock.monotonic();
    busyUntil = Math.max(busyUntil, now) + (bytes * millisecondsPerSecond) / bytesPerSecond;
    await clock.wait(busyUntil - now, signal);
    if (signal.aborted) throw new RelayError(ResultCode.cancelled, 'load cancelled');
  };

  async function* writeWeights(signal: AbortSignal): AsyncGenerator<Uint8Array> {
    loads += 1;
    try {
      for (let sent = 0; sent < weightBytes; sent += chunkBytes) {
        const size = Math.min(chunkBytes, weightBytes - sent);
        await waitForRate(size, signal);
        yield new Uint8Array(size);
      }
    } finally {
      loads -= 1;
    }
  }

  const run = async ({ path }: EndpointRequest, signal: AbortSignal) => {
    if (!path.startsWith('/weights/')) return buildJsonAnswer(404, { error: 'no such path' });
    if (loads >= maxLoads) return buildJsonAnswer(429, { error: 'too many loads', maxLoads });
    const headers = {
      'content-type': 'application/octet-stream',
      'content-length': String(weightBytes),
    };
    return { status: 200, headers, body: writeWeights(signal) };
  };

  return {
    run,
    readHealth: async () => ({ instance, cold: false, running: loads }),
    sendOrder: async () => {},
    exportCache: async () => undefined,
    importCache: async () => {},
  };
}
