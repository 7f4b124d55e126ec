import type { IncomingMessage } from 'node:http';
import { inflateRawSync } from 'node:zlib';
import { checkJsonDepth } from '@vanillarelay/core';
import { maxMessageBytes } from './max-message-bytes.js';

/** Decodes a message from another daemon. */
export function decodeMessage<T>({ headers }: IncomingMessage, payload: Uint8Array): T {
  const isCompressed = headers['content-encoding'] === 'deflate';
  const json = isCompressed
    ? inflateRawSync(payload, { maxOutputLength: maxMessageBytes })
    : payload;
  checkJsonDepth(json);
  return JSON.parse(Buffer.from(json).toString()) as T;
}
