import type { IncomingMessage } from 'node:http';
import { RelayError, ResultCode } from '@vanillarelay/core';
import type { z } from 'zod';
import { dispatchHeaders } from './dispatch-headers.js';

const headLimitBytes = 48 * 1024;

/** Reads and checks the head of a message; throws `malformedMessage`. */
export function parseHead<T>(request: IncomingMessage, schema: z.ZodType<T>): T {
  const text = request.headers[dispatchHeaders.request];
  if (typeof text !== 'string') throw build('head is missing');
  if (text.length > headLimitBytes) throw build(`head is larger than ${headLimitBytes} bytes`);
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    throw build('head is not JSON');
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return parsed.data;
  const [issue] = parsed.error.issues;
  throw build(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`);
}

function build(message: string): RelayError {
  return new RelayError(ResultCode.malformedMessage, message, { notRun: true, retryAfterMs: 0 });
}
