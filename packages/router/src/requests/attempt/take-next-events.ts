import type { EventField } from '../../wire/event-field.js';
import { parseEventFields } from '../../wire/parse-event-fields.js';
import type { RouterWire } from '../../wire/router-wire.js';
import type { StreamFault } from './stream-fault.js';
import type { StreamProgress } from './stream-progress.js';

interface NextEvents {
  events: Buffer[];
  /** The block after them, when it is not the next event. */
  fault?: StreamFault;
}

/** Takes the next events of a stream, up to the first block that is none, and notes the progress. */
export function takeNextEvents(
  blocks: readonly Buffer[],
  progress: StreamProgress,
  parseEvent: RouterWire['parseEvent'],
): NextEvents {
  const events: Buffer[] = [];
  for (const bytes of blocks) {
    const fields = parseEventFields(bytes);
    if (!fields) return { events, fault: { reason: 'no text', bytes } };
    if (fields.every(isComment)) continue;
    const parsed = parseEvent(fields, progress.lastEventId);
    if ('fault' in parsed) return { events, fault: { reason: parsed.fault, bytes } };
    progress.lastEventId = parsed.id;
    progress.events += 1;
    events.push(bytes);
  }
  return { events };
}

function isComment({ name }: EventField): boolean {
  return name === '';
}
