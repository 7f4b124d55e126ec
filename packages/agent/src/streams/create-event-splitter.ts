import { RelayError, ResultCode } from '@vanillarelay/core';

const lineFeed = 10;
const carriageReturn = 13;
const eventLimitBytes = 1024 * 1024;

/** Creates a parser of server-sent events; chunks may end anywhere, even inside a character. */
export function createEventSplitter() {
  let lines: string[] = [];
  let size = 0;
  let remainder: Buffer = Buffer.alloc(0);
  let isFirstLine = true;

  const addLine = (bytes: Buffer): string[] | undefined => {
    let line = bytes.toString('utf8');
    if (isFirstLine) line = line.replace(/^\uFEFF/, '');
    isFirstLine = false;
    if (line !== '') {
      lines.push(line);
      size += bytes.length;
      return undefined;
    }
    const event = lines;
    lines = [];
    size = 0;
    return event.length > 0 ? event : undefined;
  };

  /** Returns the events that the chunk completes, each as a list of lines. */
  const push = (chunk: Uint8Array): string[][] => {
    const bytes = remainder.length > 0 ? Buffer.concat([remainder, chunk]) : Buffer.from(chunk);
    const events: string[][] = [];
    let start = 0;
    for (let end = findLineEnd(bytes, 0); end >= 0; end = findLineEnd(bytes, start)) {
      const event = addLine(bytes.subarray(start, end));
      if (event) events.push(event);
      const isCrLf = bytes[end] === carriageReturn && bytes[end + 1] === lineFeed;
      start = end + (isCrLf ? 2 : 1);
    }
    remainder = bytes.subarray(start);
    if (size + remainder.length > eventLimitBytes) {
      throw new RelayError(
        ResultCode.streamBroken,
        `event is larger than ${eventLimitBytes} bytes`,
      );
    }
    return events;
  };

  /** Whether an event has begun and is not complete. */
  const hasIncompleteEvent = (): boolean =>
    lines.length > 0 || remainder.some((byte) => byte !== carriageReturn && byte !== lineFeed);

  return { push, hasIncompleteEvent };
}

/** Finds the next line end; a carriage return at the very end may still get its line feed. */
function findLineEnd(bytes: Buffer, from: number): number {
  const feed = bytes.indexOf(lineFeed, from);
  const carriage = bytes.indexOf(carriageReturn, from);
  if (carriage < 0 || (feed >= 0 && feed < carriage)) return feed;
  return carriage + 1 < bytes.length ? carriage : -1;
}
