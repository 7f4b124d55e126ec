import type { ResultCode } from './result-code.js';

const groupSize = 1_000;
const exitCodesInGroup = 10;

/** Converts a result code to a process exit code: 6000 gives 60, 6002 gives 62, 7999 gives 79. */
export function toExitCode(code: ResultCode): number {
  const group = Math.floor(code / groupSize);
  return group * exitCodesInGroup + Math.min(exitCodesInGroup - 1, code % groupSize);
}
