import { RelayError, ResultCode, type Clock } from '@vanillarelay/core';
import type { ChunkCodec } from './chunk-codec.js';
import { createChunkBuffer } from './create-chunk-buffer.js';
import { createWaitList } from './create-wait-list.js';
import type { MemoryBudget } from './memory-budget.js';
import { toStreamError } from './to-stream-error.js';

interface AnswerStreamOptions {
  clock: Clock;
  /** What comes from the endpoint; `cancelRun` cancels it. */
  body: AsyncIterable<Uint8Array>;
  codec: ChunkCodec;
  budget: MemoryBudget;
  /** Keeps the pieces and waits for a reader that comes back. */
  resumable: boolean;
  /** Runs to its end without a reader: its answer goes into a record. */
  detached: boolean;
  cancelRun: () => void;
  recordChunk: (chunk: Uint8Array) => void;
  /** Called once, when the endpoint's part is over. */
  handleEnd: (error: RelayError | undefined) => void;
}

/** Unread bytes above which the endpoint is read no further. */
const unreadLimitBytes = 256 * 1024;
/** A reader that takes nothing for this long is given up, so that it does not hold a slot. */
const stallLimitMs = 30_000;
const resumeWaitMs = 10_000;

/** Makes the running answer of one request: reads the endpoint and serves one reader at a time. */
export function createAnswerStream(options: AnswerStreamOptions) {
  const { clock, body, codec, budget, resumable, detached } = options;
  const buffer = createChunkBuffer(budget);
  const changes = createWaitList();
  const stopping = new AbortController();
  let isEnded = false;
  let failure: RelayError | undefined;
  let readUntil = 0;
  let unreadBytes = 0;
  /** Grows with each reader; an earlier one is cut off. */
  let reader = 0;
  let hasReader = false;
  let cancelResumeTimer = () => {};

  const cancel = (error: RelayError): void => {
    if (isEnded || stopping.signal.aborted) return;
    cancelResumeTimer();
    failure = error;
    stopping.abort();
    options.cancelRun();
    changes.wakeAll();
  };

  const isFull = (): boolean => {
    if (!hasReader && detached) return false;
    return unreadBytes > unreadLimitBytes || (unreadBytes > 0 && isMemoryShort());
  };

  const isMemoryShort = (): boolean => budget.usedBytes > budget.limitBytes;

  /** A detached answer goes on without its reader. */
  const cancelStalled = (): void => {
    if (detached) removeReader(reader);
    else cancel(new RelayError(ResultCode.slowCaller, 'caller does not take the answer'));
  };

  const waitForRoom = async (): Promise<void> => {
    if (!isFull()) return;
    while (isFull() && !stopping.signal.aborted) {
      const cancelTimer = clock.startTimer(stallLimitMs, cancelStalled);
      await changes.wait();
      cancelTimer();
    }
  };

  const append = (chunk: Uint8Array): void => {
    buffer.push(chunk);
    unreadBytes += chunk.length;
  };

  const receive = async (chunk: Uint8Array): Promise<void> => {
    options.recordChunk(chunk);
    codec.push(chunk, buffer.readNext()).forEach(append);
    removeUnneeded();
    changes.wakeAll();
    await waitForRoom();
  };

  const removeUnneeded = (): void => {
    if (resumable && !isMemoryShort()) return;
    const isUnread = !resumable && detached && !hasReader;
    buffer.removeUntil(isUnread ? Number.MAX_SAFE_INTEGER : readUntil);
  };

  const stop = (error: RelayError | undefined): void => {
    if (isEnded) return;
    failure ??= error;
    const last = failure && codec.encodeError(failure, buffer.readNext());
    if (last) append(last);
    isEnded = true;
    cancelResumeTimer();
    removeUnneeded();
    changes.wakeAll();
    options.handleEnd(failure);
  };

  const run = async (): Promise<void> => {
    const iterator = body[Symbol.asyncIterator]();
    const stopped = new Promise<undefined>((resolve) => {
      stopping.signal.addEventListener('abort', () => resolve(undefined));
    });
    try {
      for (;;) {
        const next = await Promise.race([iterator.next(), stopped]);
        if (!next || next.done || stopping.signal.aborted) break;
        await receive(next.value);
      }
      stop(stopping.signal.aborted ? failure : codec.checkEnd());
    } catch (cause) {
      options.cancelRun();
      stop(toStreamError(cause));
    }
  };

  /** Called when the reader's connection is gone. */
  const removeReader = (own: number): void => {
    if (own !== reader || !hasReader) return;
    hasReader = false;
    changes.wakeAll();
    if (isEnded) return;
    const left = new RelayError(ResultCode.cancelled, 'caller left');
    if (detached) removeUnneeded();
    else if (resumable) cancelResumeTimer = clock.startTimer(resumeWaitMs, () => cancel(left));
    else cancel(left);
  };

  /** The pieces after `after`; only the newest reader gets any. */
  const read = (after: number, signal: AbortSignal): AsyncIterable<Uint8Array> => {
    reader += 1;
    const own = reader;
    hasReader = true;
    readUntil = after;
    unreadBytes = buffer.countBytesAfter(after);
    cancelResumeTimer();
    changes.wakeAll();
    const removeOwn = () => removeReader(own);
    if (signal.aborted) removeOwn();
    else signal.addEventListener('abort', removeOwn, { once: true });
    return passChunks(own, removeOwn);
  };

  async function* passChunks(own: number, removeOwn: () => void): AsyncGenerator<Uint8Array> {
    try {
      for (;;) {
        if (own !== reader || !hasReader) {
          throw new RelayError(ResultCode.cancelled, 'reader has left or was replaced');
        }
        const chunk = buffer.find(readUntil + 1);
        if (chunk) {
          readUntil += 1;
          unreadBytes -= chunk.length;
          removeUnneeded();
          changes.wakeAll();
          yield chunk;
        } else if (isEnded) {
          break;
        } else {
          await changes.wait();
        }
      }
      if (failure) throw failure;
    } finally {
      removeOwn();
    }
  }

  void run();

  return {
    read,
    /** Ends the answer; its reader gets the error. */
    cancel,
    hasAfter: buffer.hasAfter,
    /** Gives the memory back. */
    close: (): void => buffer.removeUntil(Number.MAX_SAFE_INTEGER),
  };
}
