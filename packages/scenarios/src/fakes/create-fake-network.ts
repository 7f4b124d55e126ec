import { RelayError, ResultCode, type Random } from '@vanillarelay/core';
import type { RunningProcess } from './running-process.js';
import type { VirtualClock } from './virtual-clock.js';
import type { VirtualProcess } from './virtual-process.js';

interface FakeNetworkOptions {
  virtual: VirtualClock;
  random: Random;
  /** One-way delay in milliseconds; half of it again is added at random. */
  delayMs?: number;
}

/** The caller's side of one call. */
interface Connection {
  /** Rejects when the target dies or the caller gives up. */
  broken: Promise<never>;
  /** Ends the watch over both ends. */
  clear: () => void;
}

type Method = (...args: unknown[]) => Promise<unknown>;

/** Makes connections between virtual processes that can be cut, slowed and doubled. */
export function createFakeNetwork({ virtual, random, delayMs = 1 }: FakeNetworkOptions) {
  const cuts = new Set<string>();
  const extraDelays = new Map<string, number>();
  const duplicates = new Set<string>();

  const isCut = (from: string, to: string) =>
    cuts.has(`${from}>${to}`) || cuts.has(`${to}>${from}`);

  const wait = (from: string, to: string) =>
    virtual.clock.wait(delayMs * (1 + random() / 2) + (extraDelays.get(`${from}>${to}`) ?? 0));

  /** Carries one message; resolves at the receiver, never when it is lost. */
  const pass = async (from: VirtualProcess, to: VirtualProcess): Promise<void> => {
    await from.waitUntilRunning();
    await wait(from.id, to.id);
    if (isCut(from.id, to.id)) await new Promise(() => {});
    if (!to.isAlive()) {
      throw new RelayError(ResultCode.connectionFailed, `${to.id} refused the connection`, {
        notRun: true,
      });
    }
    await to.waitUntilRunning();
  };

  const createConnection = (to: VirtualProcess, signal?: AbortSignal): Connection => {
    let clear = () => {};
    const broken = new Promise<never>((_, reject) => {
      const abort = () =>
        reject(new RelayError(ResultCode.connectionFailed, `call to ${to.id} was given up`));
      const clearKill = to.observeKill(() =>
        reject(new RelayError(ResultCode.connectionFailed, `${to.id} broke the connection off`)),
      );
      if (signal?.aborted) abort();
      signal?.addEventListener('abort', abort, { once: true });
      clear = () => {
        clearKill();
        signal?.removeEventListener('abort', abort);
      };
    });
    broken.catch(() => {});
    return { broken, clear };
  };

  /** A server-side signal that aborts when the caller aborts or dies; `clear` ends the watch. */
  const createServerSignal = (from: VirtualProcess, to: VirtualProcess, signal?: AbortSignal) => {
    const controller = new AbortController();
    const abort = () => {
      const passAbort = async () => {
        await wait(from.id, to.id);
        // A frozen process learns of a closed connection only after it has read what came before.
        await to.waitUntilRunning();
        await wait(from.id, to.id);
        if (!isCut(from.id, to.id)) controller.abort();
      };
      void passAbort();
    };
    signal?.addEventListener('abort', abort, { once: true });
    const clearKill = from.observeKill(abort);
    const clear = () => {
      clearKill();
      signal?.removeEventListener('abort', abort);
    };
    return { serverSignal: controller.signal, clear };
  };

  async function* passBody(
    body: AsyncIterable<Uint8Array>,
    from: VirtualProcess,
    to: VirtualProcess,
    connection: Connection,
  ): AsyncGenerator<Uint8Array> {
    try {
      for await (const chunk of body) {
        await Promise.race([pass(to, from), connection.broken]);
        yield chunk;
      }
      await Promise.race([pass(to, from), connection.broken]);
    } finally {
      connection.clear();
    }
  }

  const call = async (
    from: VirtualProcess,
    to: VirtualProcess,
    run: (signal: AbortSignal) => Promise<unknown>,
    signal?: AbortSignal,
  ): Promise<unknown> => {
    const connection = createConnection(to, signal);
    const { serverSignal, clear: clearServer } = createServerSignal(from, to, signal);
    const clear = () => {
      connection.clear();
      clearServer();
    };
    const exchange = async () => {
      await pass(from, to);
      if (duplicates.has(`${from.id}>${to.id}`)) {
        void pass(from, to)
          .then(() => run(serverSignal))
          .catch(() => {});
      }
      const reply = await run(serverSignal);
      await pass(to, from);
      return reply;
    };
    try {
      const reply = await Promise.race([exchange(), connection.broken]);
      return wrapReply(reply, from, to, { ...connection, clear });
    } catch (error) {
      connection.clear();
      throw error;
    }
  };

  const wrapReply = (
    reply: unknown,
    from: VirtualProcess,
    to: VirtualProcess,
    connection: Connection,
  ): unknown => {
    const body = (reply as { body?: unknown } | null | undefined)?.body;
    if (typeof body !== 'object' || body === null || !(Symbol.asyncIterator in body)) {
      connection.clear();
      return reply;
    }
    const passed = passBody(body as AsyncIterable<Uint8Array>, from, to, connection);
    return { ...(reply as object), body: passed };
  };

  /** A client at `from` of whatever runs at the target; a signal as last argument is carried over. */
  const open = <T extends object>(
    from: VirtualProcess,
    findTarget: () => RunningProcess<T> | undefined,
  ): T =>
    new Proxy({} as T, {
      get: (_, name) => {
        if (name === 'then') return undefined;
        return async (...args: unknown[]) => {
          const target = findTarget();
          if (!target)
            throw new RelayError(ResultCode.connectionFailed, 'no such process', { notRun: true });
          const last = args[args.length - 1];
          const signal = last instanceof AbortSignal ? last : undefined;
          const run = (serverSignal: AbortSignal) => {
            const method = (target.handlers as Record<PropertyKey, Method>)[name] as Method;
            return method(...(signal ? [...args.slice(0, -1), serverSignal] : args));
          };
          return call(from, target.process, run, signal);
        };
      },
    });

  return {
    open,
    /** Loses all messages between two processes, both ways, silently. */
    cut: (a: string, b: string): void => {
      cuts.add(`${a}>${b}`);
    },
    /** Restores the connection; lost messages stay lost. */
    clearCut: (a: string, b: string): void => {
      cuts.delete(`${a}>${b}`);
      cuts.delete(`${b}>${a}`);
    },
    /** Adds a one-way delay in milliseconds. */
    addDelay: (from: string, to: string, ms: number): void => {
      extraDelays.set(`${from}>${to}`, ms);
    },
    /** Delivers every later call from `from` to `to` twice. */
    startDuplicates: (from: string, to: string): void => {
      duplicates.add(`${from}>${to}`);
    },
  };
}
