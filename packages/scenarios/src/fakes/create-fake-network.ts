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

  const createLostSignal = (to: VirtualProcess) =>
    new Promise<never>((_, reject) => {
      to.observeKill(() => {
        reject(new RelayError(ResultCode.connectionFailed, `${to.id} broke the connection off`));
      });
    });

  /** A server-side signal that aborts when the caller aborts or dies. */
  const createServerSignal = (from: VirtualProcess, to: VirtualProcess, signal?: AbortSignal) => {
    const controller = new AbortController();
    const abort = () => {
      void wait(from.id, to.id).then(() => !isCut(from.id, to.id) && controller.abort());
    };
    signal?.addEventListener('abort', abort, { once: true });
    from.observeKill(abort);
    return controller.signal;
  };

  async function* passBody(
    body: AsyncIterable<Uint8Array>,
    from: VirtualProcess,
    to: VirtualProcess,
    lost: Promise<never>,
  ): AsyncGenerator<Uint8Array> {
    for await (const chunk of body) {
      await Promise.race([pass(to, from), lost]);
      yield chunk;
    }
    await Promise.race([pass(to, from), lost]);
  }

  const call = async (
    from: VirtualProcess,
    to: VirtualProcess,
    run: (signal: AbortSignal) => Promise<unknown>,
    signal?: AbortSignal,
  ): Promise<unknown> => {
    const lost = createLostSignal(to);
    lost.catch(() => {});
    const aborted = new Promise<never>((_, reject) => {
      const abort = () =>
        reject(new RelayError(ResultCode.connectionFailed, `call to ${to.id} was given up`));
      if (signal?.aborted) abort();
      signal?.addEventListener('abort', abort, { once: true });
    });
    aborted.catch(() => {});
    const exchange = async () => {
      await pass(from, to);
      const serverSignal = createServerSignal(from, to, signal);
      if (duplicates.has(`${from.id}>${to.id}`)) {
        void pass(from, to)
          .then(() => run(serverSignal))
          .catch(() => {});
      }
      const reply = await Promise.race([run(serverSignal), lost]);
      await pass(to, from);
      return wrapReply(reply, from, to, lost);
    };
    return Promise.race([exchange(), aborted]);
  };

  const wrapReply = (
    reply: unknown,
    from: VirtualProcess,
    to: VirtualProcess,
    lost: Promise<never>,
  ): unknown => {
    if (typeof reply !== 'object' || reply === null || !('body' in reply)) return reply;
    const { body } = reply;
    if (typeof body !== 'object' || body === null || !(Symbol.asyncIterator in body)) return reply;
    return { ...reply, body: passBody(body as AsyncIterable<Uint8Array>, from, to, lost) };
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
