import { ResultCode } from './result-code.js';

const names = new Map<number, string>(
  Object.entries(ResultCode).map(([name, code]) => [code, name]),
);

/** Returns the name of a result code, as in `docs/errors.md`. */
export function findCodeName(code: number): string {
  return names.get(code) ?? 'unknown';
}
