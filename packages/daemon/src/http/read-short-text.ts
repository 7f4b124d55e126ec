import { RelayError, ResultCode } from '@vanillarelay/core';

/** Reads a body as text; ends it with an error when it exceeds the limit. */
export async function readShortText(
  body: AsyncIterable<Uint8Array>,
  limitBytes: number,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  for await (const chunk of body) {
    size += chunk.length;
    if (size > limitBytes) {
      throw new RelayError(ResultCode.endpointFailed, `answer is larger than ${limitBytes} bytes`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}
