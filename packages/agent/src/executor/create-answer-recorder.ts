/** One byte more than a record keeps, so that an answer above the limit is known as such. */
const keptLimitBytes = 64 * 1024 + 1;

/** Makes a copy of an answer's first bytes, for its record. */
export function createAnswerRecorder() {
  const chunks: Uint8Array[] = [];
  let size = 0;
  return {
    record: (chunk: Uint8Array): void => {
      if (size < keptLimitBytes) chunks.push(chunk);
      size += chunk.length;
    },
    readBody: (): Uint8Array => Buffer.concat(chunks),
  };
}
