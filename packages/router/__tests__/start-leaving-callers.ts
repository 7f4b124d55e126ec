import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

interface LeavingCallers {
  port: number;
  count: number;
  /** Bytes that each caller writes, in this order. */
  parts: string[];
  /** Time until the callers connect. */
  startAfterMs?: number;
  leaveAfterMs: number;
  how: 'end' | 'destroy' | 'resetAndDestroy';
}

/** Starts a thread with an endpoint and with callers that leave early. */
export async function startLeavingCallers() {
  const worker = new Worker(new URL('./leaving-callers-worker.mjs', import.meta.url));
  await once(worker, 'online');
  let nextId = 0;
  const call = async <T>(name: string, options?: object): Promise<T> => {
    nextId += 1;
    const id = nextId;
    worker.postMessage({ id, call: name, options });
    for (;;) {
      const [message] = (await once(worker, 'message')) as [{ id: number; result: T }];
      if (message.id === id) return message.result;
    }
  };
  return {
    endpointPort: await call<number>('listen'),
    setAnswer: (options: { answerAfterMs?: number; isRefusing?: boolean }) =>
      call<void>('setAnswer', options),
    startCallers: (options: LeavingCallers) => call<void>('startCallers', options),
    /** Counts the requests that reached the endpoint since the last call. */
    takeArrivals: () => call<number>('takeArrivals'),
    close: () => worker.terminate(),
  };
}
