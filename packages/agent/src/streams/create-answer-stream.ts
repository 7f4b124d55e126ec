import { RelayError, ResultCode, type Clock } from '@vanillarelay/core';
import type { ChunkCodec } from './chunk-codec.js';
import { createChunkBuffer } from './create-chunk-buffer.js';
import { createWaitList } from './create-wait-list.js';
import type { MemoryBudget } from './memory-budget.js';
import { toStreamError } from './to-stream-error.js';

interface AnswerStreamOptions {
  clock: Clock;
  /** The body that the endpoint sends; `cancelRun` cancels it. */
  body: AsyncIterable<Uint8Array>;
  codec: ChunkCodec;
  budget: MemoryBudget;
  /** Whether chunks are kept, and the run continues, for a reader that reconnects. */
  resumable: boolean;
  /** Whether it runs to its end without a reader, because its answer is stored in a record. */
  detached: boolean;
  cancelRun: () => void;
  recordChunk: (chunk: Uint8Array) => void;
  /** Called once, when the endpoint's answer has ended or failed. */
  handleEnd: (error: RelayError | undefined) => void;
}

/** Unread bytes above which reading from the endpoint pauses. */
const unreadLimitBytes = 256 * 1024;
/** A reader that reads nothing for this long is disconnected, so that it does not hold a slot. */
const stallTimeoutMs = 30_000;
/** Time for a reader to reconnect to a resumable answer before the run is cancelled. */
const resumeTimeoutMs = 10_000;

/** Creates the stream of an answer, which reads the endpoint and serves one reader at a time. */
export function createAnswerStream(options: AnswerStreamOptions) {
  const { clock, body, codec, budget, resumable, detached } = options;
  const buffer = createChunkBuffer(budget);
  const changes = createWaitList();
  const stopping = new AbortController();
  let isEnded = false;
  let failure: RelayError | undefined;
  let lastReadSequence = 0;
  let unreadBytes = 0;
  /** Incremented with each reader; an earlier reader is disconnected. */
  let readerId = 0;
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
    return unreadBytes > unreadLimitBytes || (unreadBytes > 0 && isOverBudget());
  };

  const isOverBudget = (): boolean => budget.usedBytes > budget.limitBytes;

  /** A detached answer continues without its reader. */
  const cancelStalled = (): void => {
    if (detached) removeReader(readerId);
    else cancel(new RelayError(ResultCode.slowCaller, 'caller does not read the answer'));
  };

  const waitForReader = async (): Promise<void> => {
    if (!isFull()) return;
    while (isFull() && !stopping.signal.aborted) {
      const cancelTimer = clock.startTimer(stallTimeoutMs, cancelStalled);
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
    await waitForReader();
  };

  const removeUnneeded = (): void => {
    if (resumable && !isOverBudget()) return;
    const isUnread = !resumable && detached && !hasReader;
    buffer.removeUntil(isUnread ? Number.MAX_SAFE_INTEGER : lastReadSequence);
  };

  const stop = (error: RelayError | undefined): void => {
    if (isEnded) return;
    failure ??= error;
    const errorChunk = failure && codec.encodeError(failure, buffer.readNext());
    if (errorChunk) append(errorChunk);
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
  const removeReader = (id: number): void => {
    if (id !== readerId || !hasReader) return;
    hasReader = false;
    changes.wakeAll();
    if (isEnded) return;
    const callerLeft = new RelayError(ResultCode.cancelled, 'caller left');
    if (detached) removeUnneeded();
    else if (resumable)
      cancelResumeTimer = clock.startTimer(resumeTimeoutMs, () => cancel(callerLeft));
    else cancel(callerLeft);
  };

  /** Returns the chunks after number `after`; earlier readers are disconnected. */
  const read = (after: number, signal: AbortSignal): AsyncIterable<Uint8Array> => {
    readerId += 1;
    const thisReaderId = readerId;
    hasReader = true;
    lastReadSequence = after;
    unreadBytes = buffer.countBytesAfter(after);
    cancelResumeTimer();
    changes.wakeAll();
    const removeThisReader = () => removeReader(thisReaderId);
    if (signal.aborted) removeThisReader();
    else signal.addEventListener('abort', removeThisReader, { once: true });
    return yieldChunks(thisReaderId, removeThisReader);
  };

  async function* yieldChunks(
    thisReaderId: number,
    removeThisReader: () => void,
  ): AsyncGenerator<Uint8Array> {
    try {
      for (;;) {
        if (thisReaderId !== readerId || !hasReader) {
          throw new RelayError(ResultCode.cancelled, 'reader has disconnected or was replaced');
        }
        const chunk = buffer.find(lastReadSequence + 1);
        if (chunk) {
          lastReadSequence += 1;
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
      removeThisReader();
    }
  }

  void run();

  return {
    read,
    /** Ends the answer; its reader receives the error. */
    cancel,
    hasAfter: buffer.hasAfter,
    /** Removes all buffered chunks. */
    close: (): void => buffer.removeUntil(Number.MAX_SAFE_INTEGER),
  };
}
