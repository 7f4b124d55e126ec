import type { ResultCode } from './result-code.js';

const groupSize = 1_000;
const exitCodesInGroup = 10;

/** Converts a result code to a process exit code: 6000 to 60, 6002 to 62, 7999 to 79. */
export function toExitCode(code: ResultCode): number {
  const group = Math.floor(code / groupSize);
  return group * exitCodesInGroup + Math.min(exitCodesInGroup - 1, code % groupSize);
}
