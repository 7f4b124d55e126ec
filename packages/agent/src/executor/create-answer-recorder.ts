/** One byte more than a record can store, so that an answer above the limit is detected. */
const maxRecordedBytes = 64 * 1024 + 1;

/** Creates a recorder, which copies the first bytes of an answer for its record. */
export function createAnswerRecorder() {
  const chunks: Uint8Array[] = [];
  let size = 0;
  return {
    record: (chunk: Uint8Array): void => {
      if (size < maxRecordedBytes) chunks.push(chunk);
      size += chunk.length;
    },
    readBody: (): Uint8Array => Buffer.concat(chunks),
  };
}
