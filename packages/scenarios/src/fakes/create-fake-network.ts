import { RelayError, ResultCode, type Random } from '@vanillarelay/core';
import type { RunningProcess } from './running-process.js';
import type { VirtualClock } from './virtual-clock.js';
import type { VirtualProcess } from './virtual-process.js';

interface FakeNetworkOptions {
  virtual: VirtualClock;
  random: Random;
  /** Minimum one-way delay in milliseconds; a random part of up to half of it is added. */
  delayMs?: number;
  /** Additional time, in milliseconds, until a target notices that a call was aborted. */
  readCloseDelay?: () => number;
}

/** The caller's side of one call in progress. */
interface Connection {
  /** Rejects when the target is killed or the caller aborts the call. */
  broken: Promise<never>;
  /** Removes the listeners on the target and on the signal. */
  clear: () => void;
}

type Method = (...args: unknown[]) => Promise<unknown>;

/** One direction of a process's own link, which its messages share. */
interface LinkDirection {
  bytesPerMs: number;
  /** Monotonic time at which the bytes accepted so far have been sent. */
  freeAt: number;
}

/** Messages that share a link take turns after this many bytes. */
const segmentBytes = 8 * 1024;

/** Creates a network that connects virtual processes and can lose, delay or duplicate messages. */
export function createFakeNetwork({
  virtual,
  random,
  delayMs = 1,
  readCloseDelay = () => 0,
}: FakeNetworkOptions) {
  const cuts = new Set<string>();
  const extraDelays = new Map<string, number>();
  const duplicates = new Set<string>();

  const uplinks = new Map<string, LinkDirection>();
  const downlinks = new Map<string, LinkDirection>();

  const isCut = (from: string, to: string) =>
    cuts.has(`${from}>${to}`) || cuts.has(`${to}>${from}`);

  const waitForDelay = (from: string, to: string) =>
    virtual.clock.wait(delayMs * (1 + random() / 2) + (extraDelays.get(`${from}>${to}`) ?? 0));

  const sendSegment = async (link: LinkDirection | undefined, bytes: number): Promise<void> => {
    if (!link) return;
    const now = virtual.clock.monotonic();
    link.freeAt = Math.max(now, link.freeAt) + bytes / link.bytesPerMs;
    await virtual.clock.wait(link.freeAt - now);
  };

  /** Waits until the message has passed the links of both processes; stops when it is aborted. */
  const waitForBandwidth = async (
    from: VirtualProcess,
    to: VirtualProcess,
    message: unknown,
    signal?: AbortSignal,
  ): Promise<void> => {
    const links = [uplinks.get(from.id), downlinks.get(to.id)];
    let left = JSON.stringify(message)?.length ?? 0;
    while (left > 0 && !signal?.aborted) {
      const bytes = Math.min(left, segmentBytes);
      left -= bytes;
      for (const link of links) await sendSegment(link, bytes);
    }
  };

  /** Resolves when the message reaches the receiver; never settles when the message is lost. */
  const sendMessage = async (
    from: VirtualProcess,
    to: VirtualProcess,
    message?: unknown,
    signal?: AbortSignal,
  ): Promise<void> => {
    await from.waitUntilRunning();
    const hasLimit = uplinks.has(from.id) || downlinks.has(to.id);
    if (hasLimit) await waitForBandwidth(from, to, message, signal);
    await waitForDelay(from.id, to.id);
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
        reject(new RelayError(ResultCode.connectionFailed, `call to ${to.id} was aborted`));
      const removeKillListener = to.observeKill(() =>
        reject(new RelayError(ResultCode.connectionFailed, `${to.id} closed the connection`)),
      );
      if (signal?.aborted) abort();
      signal?.addEventListener('abort', abort, { once: true });
      clear = () => {
        removeKillListener();
        signal?.removeEventListener('abort', abort);
      };
    });
    broken.catch(() => {});
    return { broken, clear };
  };

  /**
   * Creates the signal at the target, which aborts when the caller aborts the call or is killed;
   * `clear` removes its listeners.
   */
  const createServerSignal = (from: VirtualProcess, to: VirtualProcess, signal?: AbortSignal) => {
    const controller = new AbortController();
    const abort = () => {
      const sendAbort = async () => {
        await waitForDelay(from.id, to.id);
        const closeDelayMs = readCloseDelay();
        if (closeDelayMs > 0) await virtual.clock.wait(closeDelayMs);
        // A frozen process reads the data received earlier before it notices a closed connection.
        const arrivedAt = virtual.clock.monotonic();
        await to.waitUntilRunning();
        if (virtual.clock.monotonic() > arrivedAt) await waitForDelay(from.id, to.id);
        if (!isCut(from.id, to.id)) controller.abort();
      };
      void sendAbort();
    };
    signal?.addEventListener('abort', abort, { once: true });
    const removeKillListener = from.observeKill(abort);
    const clear = () => {
      removeKillListener();
      signal?.removeEventListener('abort', abort);
    };
    return { serverSignal: controller.signal, clear };
  };

  async function* sendBody(
    body: AsyncIterable<Uint8Array>,
    from: VirtualProcess,
    to: VirtualProcess,
    connection: Connection,
  ): AsyncGenerator<Uint8Array> {
    try {
      for await (const chunk of body) {
        await Promise.race([sendMessage(to, from), connection.broken]);
        yield chunk;
      }
      await Promise.race([sendMessage(to, from), connection.broken]);
    } finally {
      connection.clear();
    }
  }

  const call = async (
    from: VirtualProcess,
    to: VirtualProcess,
    message: unknown,
    run: (signal: AbortSignal) => Promise<unknown>,
    signal?: AbortSignal,
  ): Promise<unknown> => {
    const connection = createConnection(to, signal);
    const { serverSignal, clear: clearServerSignal } = createServerSignal(from, to, signal);
    const clear = () => {
      connection.clear();
      clearServerSignal();
    };
    const exchange = async () => {
      await sendMessage(from, to, message, signal);
      if (duplicates.has(`${from.id}>${to.id}`)) {
        void sendMessage(from, to, message, signal)
          .then(() => run(serverSignal))
          .catch(() => {});
      }
      const reply = await run(serverSignal);
      await sendMessage(to, from, reply, signal);
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
    const sentBody = sendBody(body as AsyncIterable<Uint8Array>, from, to, connection);
    return { ...(reply as object), body: sentBody };
  };

  /**
   * Opens a client at `from`. Each call goes to the process that `findTarget` returns at that time.
   * If the last argument is an abort signal, aborting it also aborts the call at the target.
   */
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
            throw new RelayError(ResultCode.connectionFailed, 'the target process does not exist', {
              notRun: true,
            });
          const last = args[args.length - 1];
          const signal = last instanceof AbortSignal ? last : undefined;
          const message = signal ? args.slice(0, -1) : args;
          const run = (serverSignal: AbortSignal) => {
            const method = (target.handlers as Record<PropertyKey, Method>)[name] as Method;
            return method(...(signal ? [...message, serverSignal] : args));
          };
          return call(from, target.process, message, run, signal);
        };
      },
    });

  return {
    open,
    /** Loses all messages between two processes in both directions; neither side gets an error. */
    cut: (a: string, b: string): void => {
      cuts.add(`${a}>${b}`);
    },
    /** Restores the connection; lost messages are not delivered. */
    clearCut: (a: string, b: string): void => {
      cuts.delete(`${a}>${b}`);
      cuts.delete(`${b}>${a}`);
    },
    /** Adds a delay in milliseconds in one direction. */
    addDelay: (from: string, to: string, ms: number): void => {
      extraDelays.set(`${from}>${to}`, ms);
    },
    /** Limits the link of a process, in bytes per millisecond in each direction. */
    setBandwidth: (id: string, bytesPerMs: number): void => {
      uplinks.set(id, { bytesPerMs, freeAt: 0 });
      downlinks.set(id, { bytesPerMs, freeAt: 0 });
    },
    /** Delivers every later call from `from` to `to` twice. */
    startDuplicates: (from: string, to: string): void => {
      duplicates.add(`${from}>${to}`);
    },
  };
}
