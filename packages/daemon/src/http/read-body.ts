import type { IncomingMessage } from 'node:http';
import { RelayError, ResultCode } from '@vanillarelay/core';

/** Reads a whole body; one above the limit is refused. */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Uint8Array> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size > limitBytes) {
      throw new RelayError(ResultCode.bodyTooLarge, `body is larger than ${limitBytes} bytes`, {
        notRun: true,
      });
    }
    chunks.push(chunk as Buffer);
  }
  return chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks);
}
