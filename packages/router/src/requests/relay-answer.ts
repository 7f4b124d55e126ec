import type { IncomingMessage } from 'node:http';
import { selectAnswerHeaders } from '../wire/select-answer-headers.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import type { Caller } from './caller.js';
import { isSpoiltError } from './is-spoilt-error.js';

interface AnswerRelay {
  answer: IncomingMessage;
  caller: Caller;
  /** Whether a 5xx answer is relayed to the caller; otherwise the attempt fails. */
  isFailureFinal: boolean;
}

/**
 * Answers up to this size are buffered until they are complete, so that the request can be sent to
 * another endpoint after an interruption.
 */
const maxBufferedBytes = 1024 * 1024;
const firstServerErrorStatus = 500;

/** Relays an answer that is not a stream, once it is complete or exceeds the buffer limit. */
export async function relayAnswer(relay: AnswerRelay): Promise<AttemptOutcome> {
  const { answer, caller, isFailureFinal } = relay;
  const status = answer.statusCode ?? 0;
  const chunks: Buffer[] = [];
  let bufferedBytes = 0;
  let isStarted = false;
  try {
    for await (const chunk of answer as AsyncIterable<Buffer>) {
      chunks.push(chunk);
      bufferedBytes += chunk.length;
      if (bufferedBytes <= maxBufferedBytes) continue;
      if (!isStarted) caller.sendHead(status, selectAnswerHeaders(answer, undefined));
      isStarted = true;
      for (const buffered of chunks.splice(0)) await caller.sendChunk(buffered);
    }
  } catch (error) {
    const reason = (error as Error).message;
    if (caller.signal.aborted) return { type: 'cancelled' };
    const fault = { reason, isSpoilt: isSpoiltError(error) };
    return isStarted ? { type: 'broken', ...fault } : { type: 'failed', ...fault, isSilent: false };
  }
  if (!answer.complete) return { type: 'failed', reason: 'answer cut off', isSilent: false };
  if (status >= firstServerErrorStatus && !isFailureFinal) {
    return { type: 'failed', reason: `endpoint answered ${status}`, isSilent: false, status };
  }
  if (isStarted) {
    caller.finish();
    return { type: 'answered', status };
  }
  const body = chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks);
  caller.sendHead(status, selectAnswerHeaders(answer, body.length));
  caller.finish(body);
  return { type: 'answered', status };
}
