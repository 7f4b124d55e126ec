import { RelayError, ResultCode } from '@vanillarelay/core';
import type { Rollout } from '@vanillarelay/routing';
import type { EndRollout } from './end-rollout.js';
import { findRollout } from './find-rollout.js';
import type { SharedState } from './shared-state.js';
import type { StartRollout } from './start-rollout.js';

/**
 * Applies a command for a roll-out. A repeated start or end is accepted without effect, and the
 * first end wins. Throws `rolloutConflict` while another version is rolled out, and
 * `staleFencingToken` if a start was proposed on a state before the last change of the roll-out.
 */
export function applyRolloutCommand(
  state: SharedState,
  command: StartRollout | EndRollout,
  index: number,
): SharedState {
  const next =
    command.type === 'startRollout'
      ? startRollout(state, command, index)
      : endRollout(state, command, index);
  if (!next) return state;
  return { ...state, index, rollouts: { ...state.rollouts, [command.service]: next } };
}

function startRollout(
  state: SharedState,
  { service, to, durationMs, startedAt, base = Infinity }: StartRollout,
  index: number,
): Rollout | undefined {
  const known = findRollout(state, service);
  if (known?.state === 'inProgress') {
    if (known.to === to) return undefined;
    const message = `the roll-out of ${service} to ${known.to} is in progress`;
    throw new RelayError(ResultCode.rolloutConflict, message, { notRun: true });
  }
  if (known && known.lastIndex > base) {
    const message = `startRollout ${service} is older than the last change`;
    throw new RelayError(ResultCode.staleFencingToken, message, { notRun: true });
  }
  return { to, durationMs, state: 'inProgress', startIndex: index, lastIndex: index, startedAt };
}

function endRollout(
  state: SharedState,
  { service, startIndex, outcome }: EndRollout,
  index: number,
): Rollout | undefined {
  const known = findRollout(state, service);
  if (known?.state !== 'inProgress' || known.startIndex !== startIndex) return undefined;
  return { ...known, state: outcome, lastIndex: index };
}
