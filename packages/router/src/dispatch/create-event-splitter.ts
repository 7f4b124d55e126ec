/** A whole event of a stream. */
interface StreamEvent {
  bytes: Buffer;
  id?: string;
}

const newline = 0x0a;
const idField = 'id:';

/** Makes a splitter of an event stream: bytes go in as they arrive, whole events come out. */
export function createEventSplitter() {
  let rest: Buffer = Buffer.alloc(0);
  return {
    push: (chunk: Buffer): StreamEvent[] => {
      rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const events: StreamEvent[] = [];
      let end = findEventEnd(rest);
      while (end > 0) {
        events.push(parseEvent(rest.subarray(0, end)));
        rest = rest.subarray(end);
        end = findEventEnd(rest);
      }
      return events;
    },
    /** Bytes of an event that is not whole. */
    countRest: (): number => rest.length,
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
    .find((one) => one.startsWith(idField));
  return line === undefined ? { bytes } : { bytes, id: line.slice(idField.length).trim() };
}
