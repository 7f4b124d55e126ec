import type { IncomingMessage } from 'node:http';
import { RelayError, ResultCode } from '@vanillarelay/core';

/**
 * Reads a whole body; rejects as soon as the body is known to exceed the limit. The request is not
 * destroyed, so that the refusal can be sent.
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
    let isComplete = false;
    request.once('end', () => {
      isComplete = true;
      resolve(chunks.length === 1 ? (chunks[0] as Buffer) : Buffer.concat(chunks));
    });
    request.once('close', () => {
      // Every request emits `close`; an error for each would cost its stack trace.
      if (isComplete) return;
      reject(
        new RelayError(ResultCode.cancelled, 'connection closed before the end of the body', {
          notRun: true,
        }),
      );
    });
    request.once('error', () => {});
  });
}
