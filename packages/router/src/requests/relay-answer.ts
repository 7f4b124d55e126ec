import type { IncomingMessage } from 'node:http';
import { selectAnswerHeaders } from '../wire/select-answer-headers.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import type { Caller } from './caller.js';

interface AnswerRelay {
  answer: IncomingMessage;
  caller: Caller;
  /** Whether a failure of the endpoint itself may be passed on, or another endpoint is asked. */
  isFailureFinal: boolean;
}

/** Answers up to this size are read whole, so that a broken one can be replaced. */
const maxHeldBytes = 1024 * 1024;
const firstFailureStatus = 500;

/** Reads a plain answer whole, then passes it on. */
export async function relayAnswer(relay: AnswerRelay): Promise<AttemptOutcome> {
  const { answer, caller, isFailureFinal } = relay;
  const status = answer.statusCode ?? 0;
  const parts: Buffer[] = [];
  let heldBytes = 0;
  let isStarted = false;
  try {
    for await (const part of answer as AsyncIterable<Buffer>) {
      parts.push(part);
      heldBytes += part.length;
      if (heldBytes <= maxHeldBytes) continue;
      if (!isStarted) caller.sendHead(status, selectAnswerHeaders(answer, undefined));
      isStarted = true;
      for (const held of parts.splice(0)) await caller.sendPart(held);
    }
  } catch (error) {
    const reason = (error as Error).message;
    if (caller.signal.aborted) return { type: 'cancelled' };
    return isStarted ? { type: 'broken', reason } : { type: 'failed', reason, isSilent: false };
  }
  if (!answer.complete) return { type: 'failed', reason: 'answer cut off', isSilent: false };
  if (status >= firstFailureStatus && !isFailureFinal) {
    return { type: 'failed', reason: `endpoint answered ${status}`, isSilent: false, status };
  }
  if (isStarted) {
    caller.finish();
    return { type: 'answered', status };
  }
  const body = parts.length === 1 && parts[0] ? parts[0] : Buffer.concat(parts);
  caller.sendHead(status, selectAnswerHeaders(answer, body.length));
  caller.finish(body);
  return { type: 'answered', status };
}
