import type { IncomingMessage } from 'node:http';
import type { Clock } from '@vanillarelay/core';
import { createEventSplitter } from '../dispatch/create-event-splitter.js';
import type { StreamEvent } from '../dispatch/stream-event.js';
import { selectAnswerHeaders } from '../wire/select-answer-headers.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import { isLaterEvent } from './is-later-event.js';
import type { StreamProgress } from './stream-progress.js';
import type { Caller } from './caller.js';
import type { StreamFault } from './stream-fault.js';

interface EventRelay {
  answer: IncomingMessage;
  caller: Caller;
  progress: StreamProgress;
  clock: Clock;
  /** Time to the first event after which the endpoint counts as silent; undefined for no limit. */
  firstEventMs: number | undefined;
  /** Time between events after which the endpoint counts as silent; undefined for no limit. */
  pauseMs: number | undefined;
  /** Called when the first event has arrived. */
  notifyStart: () => void;
  /** Called with bytes that are not the stream's next event. */
  reportFault: (fault: StreamFault) => void;
}

/** Largest incomplete event that is buffered. */
const maxEventBytes = 256 * 1024;

/**
 * Relays complete events as they arrive. The head is sent together with the first event, so that an
 * endpoint that fails before its first event can be replaced.
 */
export async function relayEvents(relay: EventRelay): Promise<AttemptOutcome> {
  const { answer, caller, progress, clock, firstEventMs, pauseMs, notifyStart, reportFault } =
    relay;
  const splitter = createEventSplitter();
  let isSilent = false;
  let cancelTimer = () => {};
  const startTimer = (ms: number | undefined): void => {
    cancelTimer();
    if (ms === undefined) return;
    cancelTimer = clock.startTimer(ms, () => {
      isSilent = true;
      answer.destroy();
    });
  };
  const fail = (reason: string): AttemptOutcome => {
    if (caller.signal.aborted) return { type: 'cancelled' };
    if (caller.hasSentHead()) return { type: 'broken', reason };
    return { type: 'failed', reason, isSilent };
  };
  let hasStarted = false;
  startTimer(firstEventMs);
  try {
    for await (const chunk of answer as AsyncIterable<Buffer>) {
      const received = splitter.push(chunk);
      if (splitter.countPendingBytes() > maxEventBytes) return fail('an event has no end');
      if (received.length === 0) continue;
      if (!hasStarted) notifyStart();
      hasStarted = true;
      const events = takeLaterEvents(received, progress, reportFault);
      if (events.length > 0) {
        if (!caller.hasSentHead()) caller.sendHead(200, selectAnswerHeaders(answer, undefined));
        progress.events += events.length;
        startTimer(pauseMs);
        await caller.sendChunk(mergeEvents(events));
      }
      if (events.length < received.length) {
        answer.destroy();
        return fail('an event comes again');
      }
    }
  } catch (error) {
    return fail(isSilent ? 'silent' : (error as Error).message);
  } finally {
    cancelTimer();
  }
  if (splitter.countPendingBytes() > 0)
    reportFault({ reason: 'incomplete event', bytes: splitter.readPending() });
  if (!answer.complete || splitter.countPendingBytes() > 0) return fail('stream cut off');
  if (!caller.hasSentHead()) caller.sendHead(200, selectAnswerHeaders(answer, undefined));
  caller.finish();
  return { type: 'answered', status: 200 };
}

/** Takes the events up to the first one that was relayed before, and notes the last one's id. */
function takeLaterEvents(
  events: StreamEvent[],
  progress: StreamProgress,
  reportFault: EventRelay['reportFault'],
): StreamEvent[] {
  const repeatedAt = events.findIndex(({ id, bytes }) => {
    if (id === undefined || !/^\d+$/.test(id))
      reportFault({ reason: id === undefined ? 'no id' : 'an id that is no number', bytes });
    if (id === undefined) return false;
    if (!isLaterEvent(id, progress.lastEventId)) {
      reportFault({ reason: 'an event that comes again', bytes });
      return true;
    }
    progress.lastEventId = id;
    return false;
  });
  return repeatedAt < 0 ? events : events.slice(0, repeatedAt);
}

function mergeEvents(events: StreamEvent[]): Buffer {
  const [first] = events;
  return events.length === 1 && first
    ? first.bytes
    : Buffer.concat(events.map((event) => event.bytes));
}
