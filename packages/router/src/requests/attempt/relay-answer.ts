import type { IncomingMessage } from 'node:http';
import { createByteCollector } from '@vanillarelay/daemon';
import { createMemoryLease } from '../../memory/create-memory-lease.js';
import type { MemoryBudget } from '../../memory/memory-budget.js';
import { selectAnswerHeaders } from '../../wire/select-answer-headers.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import type { Caller } from '../caller.js';
import { isSpoiltError } from './is-spoilt-error.js';

interface AnswerRelay {
  answer: IncomingMessage;
  caller: Caller;
  memory: Pick<MemoryBudget, 'answers'>;
  /** Whether a 5xx answer is relayed to the caller; otherwise the attempt fails. */
  isFailureFinal: boolean;
}

/**
 * Answers up to this size are buffered until they are complete, so that the request can be sent to
 * another endpoint after an interruption.
 */
const maxBufferedBytes = 1024 * 1024;
const firstServerErrorStatus = 500;

/**
 * Relays an answer that is not a stream, once it is complete or exceeds the buffer limit or the
 * budget.
 */
export async function relayAnswer(relay: AnswerRelay): Promise<AttemptOutcome> {
  const { answer, caller, memory, isFailureFinal } = relay;
  const status = answer.statusCode ?? 0;
  const lease = createMemoryLease(memory.answers);
  const buffered = createByteCollector();
  let isStarted = false;
  try {
    for await (const chunk of answer as AsyncIterable<Buffer>) {
      if (!isStarted) {
        buffered.append(chunk);
        if (buffered.countBytes() <= maxBufferedBytes && lease.take(chunk.length)) continue;
        caller.sendHead(status, selectAnswerHeaders(answer, undefined));
        isStarted = true;
        await caller.sendChunk(buffered.take());
        lease.release();
      } else await caller.sendChunk(chunk);
    }
  } catch (error) {
    lease.release();
    const reason = (error as Error).message;
    if (caller.signal.aborted) return { type: 'cancelled' };
    const fault = { reason, isSpoilt: isSpoiltError(error) };
    return isStarted ? { type: 'broken', ...fault } : { type: 'failed', ...fault, isSilent: false };
  }
  if (!answer.complete || (status >= firstServerErrorStatus && !isFailureFinal)) {
    lease.release();
    if (!answer.complete) return { type: 'failed', reason: 'answer cut off', isSilent: false };
    return { type: 'failed', reason: `endpoint answered ${status}`, isSilent: false, status };
  }
  if (isStarted) {
    caller.finish();
    return { type: 'answered', status };
  }
  const body = buffered.take();
  caller.sendHead(status, selectAnswerHeaders(answer, body.length));
  caller.finish(body, lease.release);
  return { type: 'answered', status };
}
