import type { IncomingMessage } from 'node:http';
import { RelayError, ResultCode } from '@vanillarelay/core';

/** Reads a whole body; rejects when it is longer than the limit or its sender goes away. */
export async function readBody(message: IncomingMessage, maxBytes: number): Promise<Buffer> {
  const parts: Buffer[] = [];
  let length = 0;
  for await (const part of message as AsyncIterable<Buffer>) {
    length += part.length;
    if (length > maxBytes) {
      const text = `the body is longer than ${maxBytes} bytes`;
      throw new RelayError(ResultCode.bodyTooLarge, text, { notRun: true });
    }
    parts.push(part);
  }
  return parts.length === 1 && parts[0] ? parts[0] : Buffer.concat(parts, length);
}
