import type { IncomingMessage } from 'node:http';
import type { Clock } from '@vanillarelay/core';
import { createEventSplitter } from '../dispatch/create-event-splitter.js';
import { selectAnswerHeaders } from '../wire/select-answer-headers.js';
import type { AttemptOutcome } from './attempt-outcome.js';
import type { StreamProgress } from './stream-progress.js';
import type { Caller } from './caller.js';

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
}

/** Largest incomplete event that is buffered. */
const maxEventBytes = 256 * 1024;

/**
 * Relays complete events as they arrive. The head is sent together with the first event, so that an
 * endpoint that fails before its first event can be replaced.
 */
export async function relayEvents(relay: EventRelay): Promise<AttemptOutcome> {
  const { answer, caller, progress, clock, firstEventMs, pauseMs, notifyStart } = relay;
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
      const events = splitter.push(chunk);
      if (splitter.countPendingBytes() > maxEventBytes) return fail('an event has no end');
      if (events.length === 0) continue;
      if (!hasStarted) notifyStart();
      hasStarted = true;
      const lastId = events.findLast(({ id }) => id !== undefined)?.id;
      if (!caller.hasSentHead()) caller.sendHead(200, selectAnswerHeaders(answer, undefined));
      if (lastId !== undefined) progress.lastEventId = lastId;
      progress.events += events.length;
      startTimer(pauseMs);
      await caller.sendChunk(mergeEvents(events));
    }
  } catch (error) {
    return fail(isSilent ? 'silent' : (error as Error).message);
  } finally {
    cancelTimer();
  }
  if (!answer.complete || splitter.countPendingBytes() > 0) return fail('stream cut off');
  if (!caller.hasSentHead()) caller.sendHead(200, selectAnswerHeaders(answer, undefined));
  caller.finish();
  return { type: 'answered', status: 200 };
}

function mergeEvents(events: { bytes: Buffer }[]): Buffer {
  const [first] = events;
  return events.length === 1 && first
    ? first.bytes
    : Buffer.concat(events.map((event) => event.bytes));
}
