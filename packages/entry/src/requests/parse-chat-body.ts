import { RelayError, ResultCode } from '@vanillarelay/core';
import { chatBodySchema } from './chat-body-schema.js';

const maxValueLength = 80;

/** Parses a chat completion; its error messages name the field, the value and what is allowed. */
export function parseChatBody(body: Uint8Array) {
  let json: unknown;
  try {
    json = JSON.parse(Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('utf8'));
  } catch {
    throw refuse('body is not valid JSON');
  }
  const parsed = chatBodySchema.safeParse(json);
  if (parsed.success) return parsed.data;
  const issue = parsed.error.issues[0];
  const path = ['body', ...(issue?.path ?? [])].join('.');
  throw refuse(`${path}: ${issue?.message}, ${formatValue(json, issue)}`);
}

function formatValue(json: unknown, issue: { path: PropertyKey[] } | undefined): string {
  let value = json;
  issue?.path.forEach((name) => {
    value = (value as Record<PropertyKey, unknown> | undefined)?.[name];
  });
  return `got ${(JSON.stringify(value) ?? 'nothing').slice(0, maxValueLength)}`;
}

function refuse(message: string): RelayError {
  return new RelayError(ResultCode.malformedRequest, message, { notRun: true });
}
