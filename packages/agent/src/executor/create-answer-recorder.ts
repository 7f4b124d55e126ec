/** One byte more than a record stores, so that an answer above the limit can be detected. */
const keptLimitBytes = 64 * 1024 + 1;

/** Makes a recorder that copies the first bytes of an answer for its record. */
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
