const newline = 0x0a;
const carriageReturn = 0x0d;

/** Creates a splitter that turns the chunks of an event stream into blocks that a blank line ends. */
export function createEventSplitter() {
  let pending: Buffer = Buffer.alloc(0);
  return {
    push: (chunk: Buffer): Buffer[] => {
      pending = pending.length === 0 ? chunk : Buffer.concat([pending, chunk]);
      const blocks: Buffer[] = [];
      for (;;) {
        pending = pending.subarray(countBlankBytes(pending));
        const end = findBlockEnd(pending);
        if (end === 0) return blocks;
        blocks.push(pending.subarray(0, end));
        pending = pending.subarray(end);
      }
    },
    /** Returns the buffered bytes of an incomplete block. */
    readPending: (): Buffer => pending,
  };
}

/** Counts the bytes of the blank lines before the first block. */
function countBlankBytes(bytes: Buffer): number {
  let at = 0;
  for (;;) {
    if (bytes[at] === newline) at += 1;
    else if (bytes[at] === carriageReturn && bytes[at + 1] === newline) at += 2;
    else return at;
  }
}

/** Offset after the blank line that ends the first block; 0 when there is none. */
function findBlockEnd(bytes: Buffer): number {
  let at = bytes.indexOf(newline);
  while (at >= 0 && at + 1 < bytes.length) {
    if (bytes[at + 1] === newline) return at + 2;
    if (bytes[at + 1] === carriageReturn && bytes[at + 2] === newline) return at + 3;
    at = bytes.indexOf(newline, at + 1);
  }
  return 0;
}
