import type { StreamEvent } from './stream-event.js';

const newline = 0x0a;
const idField = 'id:';

/** Creates a splitter that turns the chunks of an event stream into complete events. */
export function createEventSplitter() {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push: (chunk: Buffer): StreamEvent[] => {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const events: StreamEvent[] = [];
      let end = findEventEnd(pending);
      while (end > 0) {
        events.push(parseEvent(pending.subarray(0, end)));
        pending = pending.subarray(end);
        end = findEventEnd(pending);
      }
      return events;
    },
    /** Counts the buffered bytes of an incomplete event. */
    countPendingBytes: (): number => pending.length,
    readPending: (): Buffer => pending,
  };
}

/** Offset after the blank line that ends the first event; 0 when there is none. */
function findEventEnd(bytes: Buffer): number {
  let at = bytes.indexOf(newline);
  while (at >= 0 && at + 1 < bytes.length) {
    if (bytes[at + 1] === newline) return at + 2;
    if (bytes[at + 1] === 0x0d && bytes[at + 2] === newline) return at + 3;
    at = bytes.indexOf(newline, at + 1);
  }
  return 0;
}

function parseEvent(bytes: Buffer): StreamEvent {
  const line = bytes
    .toString('latin1')
    .split(/\r?\n/)
    .find((field) => field.startsWith(idField));
  return line === undefined ? { bytes } : { bytes, id: line.slice(idField.length).trim() };
}
