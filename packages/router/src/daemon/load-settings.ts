import { readFile } from 'node:fs/promises';
import { RelayError, ResultCode } from '@vanillarelay/core';
import { RouterSettings } from './router-settings.js';

/** Reads and checks a settings file; the error states the path, the value and what is allowed. */
export async function loadSettings(path: string): Promise<RouterSettings> {
  let parsed: unknown;
  try {
    parsed = JSON.parse(await readFile(path, 'utf8'));
  } catch (cause) {
    const message = `${path}: ${(cause as Error).message}`;
    throw new RelayError(ResultCode.unreadableFile, message, { notRun: true, cause });
  }
  const checked = RouterSettings.safeParse(parsed);
  if (checked.success) return checked.data;
  const faults = checked.error.issues.map(
    (issue) => `${issue.path.join('.')}: got ${formatValue(parsed, issue.path)}, ${issue.message}`,
  );
  throw new RelayError(ResultCode.invalidSettings, faults.join('; '), { notRun: true });
}

function formatValue(value: unknown, path: readonly PropertyKey[]): string {
  const found = path.reduce<unknown>(
    (inner, key) => (inner as Record<PropertyKey, unknown> | undefined)?.[key],
    value,
  );
  return JSON.stringify(found) ?? 'nothing';
}
