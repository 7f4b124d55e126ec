import { RelayError, type ResultCode } from '@vanillarelay/core';
import type { z } from 'zod';
import { formatIssues } from './format-issues.js';

/** Validates a value against a schema; throws a `RelayError` that lists every issue. */
export function checkValue<T>(schema: z.ZodType<T>, value: unknown, code: ResultCode): T {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const lines = formatIssues(result.error.issues, value);
  throw new RelayError(code, lines.join('\n'), { notRun: true });
}
