import type { IncomingMessage } from 'node:http';
import { RelayError, ResultCode } from '@vanillarelay/core';
import { createByteCollector } from './create-byte-collector.js';

/** Asks for memory; `false` when there is none. */
type TakeMemory = (bytes: number) => boolean | Promise<boolean>;

/** First memory that is reserved for a body without a length. */
const firstReservedBytes = 16 * 1024;

/**
 * Reads a whole body; rejects as soon as the body is known to exceed the limit. The request is not
 * destroyed, so that the refusal can be sent. Memory is reserved before it is used: for the whole
 * body, or in steps for a body without a length. Until it is granted, the body stays unread.
 */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
  takeMemory: TakeMemory = () => true,
): Promise<Uint8Array> {
  return new Promise((resolve, reject) => {
    const collector = createByteCollector();
    let reservedBytes = 0;
    let isSettled = false;
    const refuse = (code: ResultCode, message: string) => {
      isSettled = true;
      collector.take();
      request.removeListener('data', receive);
      // What is left is discarded.
      request.resume();
      reject(new RelayError(code, message, { notRun: true }));
    };
    const refuseTooLarge = () =>
      refuse(ResultCode.bodyTooLarge, `body is larger than ${limitBytes} bytes`);

    /** Reserves memory for a body of this size; calls back at once when it is granted at once. */
    const takeUpTo = (bytes: number, proceed: () => void): void => {
      const granted = bytes === reservedBytes || takeMemory(bytes - reservedBytes);
      const settle = (isGranted: boolean): void => {
        if (isSettled) return;
        if (!isGranted) {
          refuse(ResultCode.queueFull, 'too many large bodies are in memory');
          return;
        }
        reservedBytes = bytes;
        proceed();
      };
      if (typeof granted === 'boolean') settle(granted);
      else void granted.then(settle);
    };
    const append = (piece: Buffer): void => {
      if (piece.length < reservedBytes) collector.addRoom(reservedBytes);
      collector.append(piece);
    };
    const receive = (piece: Buffer): void => {
      const size = collector.countBytes() + piece.length;
      if (size > limitBytes) refuseTooLarge();
      else if (size <= reservedBytes) append(piece);
      else {
        request.pause();
        const nextBytes = Math.max(firstReservedBytes, reservedBytes * 2, size);
        takeUpTo(Math.min(limitBytes, nextBytes), () => {
          append(piece);
          request.resume();
        });
      }
    };
    const lengthBytes = Number(request.headers['content-length'] ?? 0);
    request.once('close', () => {
      // Every request emits `close`; an error for each would cost its stack trace.
      if (isSettled) return;
      isSettled = true;
      collector.take();
      reject(
        new RelayError(ResultCode.cancelled, 'connection closed before the end of the body', {
          notRun: true,
        }),
      );
    });
    request.once('error', () => {});
    if (lengthBytes > limitBytes) {
      refuseTooLarge();
      return;
    }
    takeUpTo(lengthBytes, () => {
      request.on('data', receive);
      request.once('end', () => {
        if (isSettled) return;
        isSettled = true;
        resolve(collector.take());
      });
    });
  });
}
