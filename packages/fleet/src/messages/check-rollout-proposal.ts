import { RelayError, ResultCode } from '@vanillarelay/core';
import type { EndRollout } from '../state/end-rollout.js';
import type { StartRollout } from '../state/start-rollout.js';

const maxNameLength = 256;
const outcomes: readonly unknown[] = ['completed', 'rolledBack'];

/**
 * Checks a command for a roll-out that another daemon proposed; throws `malformedMessage`. A value of
 * another type in the log would spoil the ages that all daemons exchange.
 */
export function checkRolloutProposal(proposal: StartRollout | EndRollout): void {
  const isValid = proposal.type === 'startRollout' ? isStart(proposal) : isEnd(proposal);
  if (isValid && isName(proposal.service)) return;
  throw new RelayError(ResultCode.malformedMessage, `${proposal.type}: a value is not valid`, {
    notRun: true,
  });
}

function isStart({ to, durationMs, startedAt, base = 0 }: StartRollout): boolean {
  return isName(to) && [durationMs, startedAt, base].every(isNumber) && durationMs > 0;
}

function isEnd({ startIndex, outcome }: EndRollout): boolean {
  return isNumber(startIndex) && outcomes.includes(outcome);
}

function isName(value: unknown): boolean {
  return typeof value === 'string' && value.length > 0 && value.length <= maxNameLength;
}

function isNumber(value: unknown): boolean {
  return Number.isFinite(value) && Number(value) >= 0 && Number(value) <= Number.MAX_SAFE_INTEGER;
}
