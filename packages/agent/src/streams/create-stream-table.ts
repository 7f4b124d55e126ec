import { RelayError, ResultCode, type Clock, type StreamId } from '@vanillarelay/core';
import type { AnswerStream } from './answer-stream.js';
import type { MemoryBudget } from './memory-budget.js';

interface StreamTableOptions {
  clock: Clock;
  limitBytes?: number;
}

const retentionMs = 60_000;
const defaultLimitBytes = 64 * 1024 * 1024;

/** Creates the table of answers that can be resumed. */
export function createStreamTable({ clock, limitBytes = defaultLimitBytes }: StreamTableOptions) {
  const streams = new Map<StreamId, AnswerStream>();
  const budget: MemoryBudget = { limitBytes, usedBytes: 0 };
  /** Ended streams in the order of their end. */
  const ended = new Set<StreamId>();

  const remove = (streamId: StreamId): void => {
    streams.get(streamId)?.close();
    streams.delete(streamId);
    ended.delete(streamId);
  };

  /** Keeps an ended stream for `retentionMs`; the oldest is removed earlier if memory is short. */
  const recordEnd = (streamId: StreamId): void => {
    if (!streams.has(streamId)) return;
    ended.add(streamId);
    clock.startTimer(retentionMs, () => remove(streamId));
    for (const oldest of ended) {
      if (budget.usedBytes <= budget.limitBytes) break;
      remove(oldest);
    }
  };

  /** Returns the rest of an answer after event number `after`. */
  const resume = (
    streamId: StreamId,
    after: number,
    signal: AbortSignal,
  ): AsyncIterable<Uint8Array> => {
    const stream = streams.get(streamId);
    if (!stream?.hasAfter(after)) {
      throw new RelayError(ResultCode.streamUnknown, 'no such stream or event');
    }
    return stream.read(after, signal);
  };

  return {
    budget,
    add: (streamId: StreamId, stream: AnswerStream): void => {
      streams.set(streamId, stream);
    },
    recordEnd,
    resume,
    cancel: (streamId: StreamId): void =>
      streams.get(streamId)?.cancel(new RelayError(ResultCode.cancelled, 'cancelled')),
    count: () => streams.size,
  };
}
