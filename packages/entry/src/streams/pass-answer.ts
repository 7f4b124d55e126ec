import { RelayError, ResultCode, toRefusal, type Clock, type RequestId } from '@vanillarelay/core';
import { formatErrorEvent } from './format-error-event.js';

interface PassOptions {
  clock: Clock;
  requestId: RequestId;
  headers: Record<string, string>;
  body: AsyncIterable<Uint8Array>;
  /** Whether an event stream without the final event is incomplete. */
  needsFinalEvent: boolean;
  /** Called for each chunk; `gapMs` is the time since the previous chunk. */
  recordChunk: (gapMs: number | undefined) => void;
  /** Called once, however the answer ends. */
  recordEnd: () => void;
}

const finalEvent = Buffer.from('data: [DONE]');
const errorEvent = 'event: error';
const lineFeed = 10;

/** Passes an answer on; if it ends early, throws, after an error event in an event stream. */
export async function* passAnswer(options: PassOptions): AsyncGenerator<Uint8Array> {
  const { clock, requestId, headers, body, recordChunk, recordEnd } = options;
  const isEventStream = headers['content-type']?.startsWith('text/event-stream') ?? false;
  let tail: Uint8Array = new Uint8Array();
  let lastChunk: Uint8Array = tail;
  let size = 0;
  let chunkAt: number | undefined;
  try {
    for await (const chunk of body) {
      const now = clock.monotonic();
      recordChunk(chunkAt === undefined ? undefined : now - chunkAt);
      chunkAt = now;
      size += chunk.length;
      lastChunk = chunk;
      if (isEventStream) tail = updateTail(tail, chunk);
      yield chunk;
    }
    checkSize(headers['content-length'], size);
    if (isEventStream && options.needsFinalEvent && !Buffer.from(tail).includes(finalEvent)) {
      throw new RelayError(ResultCode.streamBroken, 'the stream ended before its final event');
    }
  } catch (error) {
    // The agent may already have sent an error event to the caller.
    if (isEventStream && !Buffer.from(lastChunk).includes(errorEvent)) {
      if (tail.length > 0 && tail.at(-1) !== lineFeed) yield Buffer.from('\n');
      yield formatErrorEvent(toStreamError(error), requestId);
    }
    throw toStreamError(error);
  } finally {
    recordEnd();
  }
}

/** Returns the last bytes of the stream, enough for the final event with its line ends. */
function updateTail(tail: Uint8Array, chunk: Uint8Array): Uint8Array {
  const length = finalEvent.length + 4;
  if (chunk.length >= length) return chunk.subarray(chunk.length - length);
  return Buffer.concat([tail, chunk]).subarray(-length);
}

function checkSize(contentLength: string | undefined, size: number): void {
  if (contentLength === undefined || Number(contentLength) === size) return;
  throw new RelayError(
    ResultCode.streamBroken,
    `the answer ended after ${size} of ${contentLength} bytes`,
  );
}

function toStreamError(error: unknown): RelayError {
  if (error instanceof RelayError) return error;
  return new RelayError(ResultCode.streamBroken, toRefusal(error).message, { cause: error });
}
