import type { RequestId } from '../ids/request-id.js';
import type { Hlc } from '../time/hlc.js';
import { createPushStream } from './create-push-stream.js';
import type { TimelineFilter } from './timeline-filter.js';
import type { TimelineEvent } from './timeline-event.js';

interface TimelineOptions extends Pick<TimelineEvent, 'process' | 'vm' | 'dataCentre'> {
  hlc: Hlc;
  /** Number of events kept in memory; older ones are dropped. */
  capacity?: number;
}

const defaultCapacity = 5_000;

/** Creates the ring buffer of a process's events. */
export function createTimeline({ hlc, capacity = defaultCapacity, ...origin }: TimelineOptions) {
  const ring: TimelineEvent[] = [];
  let next = 0;
  const { stream, push } = createPushStream<TimelineEvent>();

  const record = (
    name: string,
    details?: TimelineEvent['details'],
    requestId?: RequestId,
  ): void => {
    const event: TimelineEvent = { at: hlc.read(), ...origin, name };
    if (details) event.details = details;
    if (requestId) event.requestId = requestId;
    ring[next] = event;
    next = (next + 1) % capacity;
    push(event);
  };

  /** Returns events in time order, oldest first; `limit` keeps only the newest. */
  const list = ({ requestId, limit = capacity }: TimelineFilter = {}): TimelineEvent[] => {
    const ordered = ring.length < capacity ? ring : [...ring.slice(next), ...ring.slice(0, next)];
    const selected = requestId ? ordered.filter((event) => event.requestId === requestId) : ordered;
    return selected.slice(-limit);
  };

  return { record, list, events: stream };
}
