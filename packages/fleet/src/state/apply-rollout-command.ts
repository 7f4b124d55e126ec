import { RelayError, ResultCode } from '@vanillarelay/core';
import type { Rollout } from '@vanillarelay/routing';
import type { EndRollout } from './end-rollout.js';
import { findRollout } from './find-rollout.js';
import { listRolloutStarts } from './list-rollout-starts.js';
import type { SharedState } from './shared-state.js';
import type { StartRollout } from './start-rollout.js';

/** Starts of a service that are remembered, since their orders may be repeated. */
const maxStarts = 4;

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
  return command.type === 'startRollout'
    ? startRollout(state, command, index)
    : endRollout(state, command, index);
}

function startRollout(
  state: SharedState,
  { service, to, durationMs, startedAt, base = Infinity }: StartRollout,
  index: number,
): SharedState {
  const known = findRollout(state, service);
  if (known?.state === 'inProgress') {
    if (known.to === to) return state;
    const message = `the roll-out of ${service} to ${known.to} is in progress`;
    throw new RelayError(ResultCode.rolloutConflict, message, { notRun: true });
  }
  if (known && known.lastIndex > base) {
    const message = `startRollout ${service} is older than the last change`;
    throw new RelayError(ResultCode.staleFencingToken, message, { notRun: true });
  }
  const start = { to, startIndex: index, startedAt };
  const starts = [start, ...listRolloutStarts(state, service)].slice(0, maxStarts);
  const next: Rollout = { ...start, durationMs, state: 'inProgress', lastIndex: index };
  return {
    ...state,
    index,
    rollouts: { ...state.rollouts, [service]: next },
    rolloutStarts: { ...state.rolloutStarts, [service]: starts },
  };
}

function endRollout(
  state: SharedState,
  { service, startIndex, outcome }: EndRollout,
  index: number,
): SharedState {
  const known = findRollout(state, service);
  if (known?.state !== 'inProgress' || known.startIndex !== startIndex) return state;
  const next: Rollout = { ...known, state: outcome, lastIndex: index };
  return { ...state, index, rollouts: { ...state.rollouts, [service]: next } };
}
