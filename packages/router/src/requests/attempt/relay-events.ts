import type { IncomingMessage } from 'node:http';
import { createEventSplitter } from '../../dispatch/create-event-splitter.js';
import type { RouterWire } from '../../wire/router-wire.js';
import { selectAnswerHeaders } from '../../wire/select-answer-headers.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import type { StreamProgress } from './stream-progress.js';
import type { Caller } from '../caller.js';
import type { StreamFault } from './stream-fault.js';
import { isSpoiltError } from './is-spoilt-error.js';
import { takeNextEvents } from './take-next-events.js';

interface EventRelay {
  answer: IncomingMessage;
  caller: Caller;
  progress: StreamProgress;
  /** Time to the first event after which the endpoint counts as silent. */
  firstEventMs: number;
  /** Time between events after which the endpoint counts as silent. */
  pauseMs: number;
  /** Starts a time limit on the endpoint's silence; returns a function that cancels it. */
  startSilenceTimer: (ms: number, abandon: () => void) => () => void;
  /** Called when the first event has arrived. */
  notifyStart: () => void;
  /** Called with bytes that are not the stream's next event. */
  reportFault: (fault: StreamFault) => void;
  parseEvent: RouterWire['parseEvent'];
}

/** Bytes that may follow an event before the next one is complete. */
const maxEventBytes = 256 * 1024;

/**
 * Relays events as they arrive, and nothing else: an attempt ends at the first block that is not the
 * stream's next event. Comments and blank lines are dropped and do not count as progress. The head
 * is sent together with the first event, so that an endpoint that fails before it can be replaced.
 */
export async function relayEvents(relay: EventRelay): Promise<AttemptOutcome> {
  const { answer, caller, progress, firstEventMs, pauseMs, notifyStart } = relay;
  const splitter = createEventSplitter();
  let isSilent = false;
  let cancelTimer = () => {};
  const startTimer = (ms: number): void => {
    cancelTimer();
    cancelTimer = relay.startSilenceTimer(ms, () => {
      isSilent = true;
      answer.destroy();
    });
  };
  const fail = (reason: string, isSpoilt = false): AttemptOutcome => {
    if (caller.signal.aborted) return { type: 'cancelled' };
    if (caller.hasSentHead()) return { type: 'broken', reason, isSilent, isSpoilt };
    return { type: 'failed', reason, isSilent, isSpoilt };
  };
  const endAtFault = (fault: StreamFault): AttemptOutcome => {
    answer.destroy();
    relay.reportFault(fault);
    return fail(fault.reason, true);
  };
  let hasStarted = false;
  let unusedBytes = 0;
  startTimer(firstEventMs);
  try {
    for await (const chunk of answer as AsyncIterable<Buffer>) {
      const blocks = splitter.push(chunk);
      const { events, fault } = takeNextEvents(blocks, progress, relay.parseEvent);
      if (events.length > 0) {
        if (!hasStarted) notifyStart();
        hasStarted = true;
        if (!caller.hasSentHead()) caller.sendHead(200, selectAnswerHeaders(answer, undefined));
        cancelTimer();
        await caller.sendChunk(mergeEvents(events));
        startTimer(pauseMs);
      }
      if (fault) return endAtFault(fault);
      const pending = splitter.readPending();
      unusedBytes = events.length > 0 ? pending.length : unusedBytes + chunk.length;
      if (unusedBytes > maxEventBytes)
        return endAtFault({ reason: 'an event has no end', bytes: pending });
    }
  } catch (error) {
    return fail(isSilent ? 'silent' : (error as Error).message, isSpoiltError(error));
  } finally {
    cancelTimer();
  }
  if (!answer.complete) return fail('stream cut off');
  const pending = splitter.readPending();
  if (pending.length > 0) {
    relay.reportFault({ reason: 'an incomplete event', bytes: pending });
    return fail('an incomplete event', isFramed(answer));
  }
  if (!caller.hasSentHead()) caller.sendHead(200, selectAnswerHeaders(answer, undefined));
  caller.finish();
  return { type: 'answered', status: 200 };
}

/** Whether the endpoint marked the end of its answer; otherwise it may have crashed there. */
function isFramed({ headers }: IncomingMessage): boolean {
  return headers['transfer-encoding'] !== undefined || headers['content-length'] !== undefined;
}

function mergeEvents(events: Buffer[]): Buffer {
  const [first] = events;
  return events.length === 1 && first ? first : Buffer.concat(events);
}
