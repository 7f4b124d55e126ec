import type { IncomingMessage } from 'node:http';
import { RelayError, ResultCode } from '@vanillarelay/core';

/**
 * Reads a whole body; one above the limit is refused as soon as that is known. The request stays
 * usable, so that the refusal can be sent.
 */
export function readBody(request: IncomingMessage, limitBytes: number): Promise<Uint8Array> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const refuse = () => {
      chunks.length = 0;
      request.removeListener('data', receive);
      reject(
        new RelayError(ResultCode.bodyTooLarge, `body is larger than ${limitBytes} bytes`, {
          notRun: true,
        }),
      );
    };
    const receive = (chunk: Buffer) => {
      size += chunk.length;
      if (size > limitBytes) refuse();
      else chunks.push(chunk);
    };
    if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
      refuse();
      return;
    }
    request.on('data', receive);
    let isWhole = false;
    request.once('end', () => {
      isWhole = true;
      resolve(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks));
    });
    request.once('close', () => {
      // Every request closes; an error for each would cost its stack trace.
      if (isWhole) return;
      reject(new RelayError(ResultCode.cancelled, 'body broke off', { notRun: true }));
    });
    request.once('error', () => {});
  });
}
