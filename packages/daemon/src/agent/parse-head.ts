import type { IncomingMessage } from 'node:http';
import { RelayError, ResultCode } from '@vanillarelay/core';
import type { z } from 'zod';
import { dispatchHeaders } from './dispatch-headers.js';

const maxHeadBytes = 48 * 1024;

/**
 * Parses and validates the head of a message, which is sent as JSON in a header; throws
 * `malformedMessage` when it is invalid.
 */
export function parseHead<T>(request: IncomingMessage, schema: z.ZodType<T>): T {
  const text = request.headers[dispatchHeaders.request];
  if (typeof text !== 'string') throw buildError('head is missing');
  if (text.length > maxHeadBytes) throw buildError(`head is larger than ${maxHeadBytes} bytes`);
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw buildError('head is not JSON');
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  throw buildError(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`);
}

function buildError(message: string): RelayError {
  return new RelayError(ResultCode.malformedMessage, message, { notRun: true, retryAfterMs: 0 });
}
