import { ResultCode, type Command, type CommandResult } from '@vanillarelay/core';
import { applyCrash } from './apply-crash.js';
import { buildRefusal } from './build-refusal.js';
import type { CommandOf } from './command-of.js';
import type { FleetState } from './fleet-state.js';
import type { Stamp } from './stamp.js';

type EndpointCommand = Extract<
  Command,
  { type: 'reportCrash' | 'clearMark' | 'takePermit' | 'releasePermit' }
>;

/** Applies a command of an agent about its endpoint. */
export function applyEndpointCommand(
  state: FleetState,
  command: EndpointCommand,
  stamp: Stamp,
): CommandResult {
  switch (command.type) {
    case 'reportCrash':
      return applyCrash(state, command, stamp);
    case 'clearMark':
      return clearSuspect(state, command, stamp);
    case 'takePermit':
      return grantPermit(state, command, stamp);
    default:
      state.permits.delete(command.endpoint);
      return { ok: true, index: stamp.index };
  }
}

/** Clears a suspect that was answered while it ran alone; a conviction stays until it expires. */
function clearSuspect(
  state: FleetState,
  { fingerprint }: CommandOf<'clearMark'>,
  { index }: Stamp,
): CommandResult {
  const marks = state.daemon.marks.filter(
    (mark) => mark.fingerprint !== fingerprint || mark.status === 'convicted',
  );
  if (marks.length < state.daemon.marks.length) {
    state.daemon = { ...state.daemon, marks, version: index };
    state.crashReports.delete(fingerprint);
  }
  return { ok: true, index };
}

/** Grants a lease to load weights unless too many are held; renews one that is held already. */
function grantPermit(
  state: FleetState,
  { endpoint, leaseMs }: CommandOf<'takePermit'>,
  { index, at }: Stamp,
): CommandResult {
  const { permits, daemon } = state;
  if (!permits.has(endpoint) && permits.size >= daemon.config.concurrentLoads) {
    const retryAfterMs = Math.min(...permits.values()) - at;
    const message = `${permits.size} weight loads are running, the limit`;
    return buildRefusal(ResultCode.permitDenied, message, { retryAfterMs });
  }
  permits.set(endpoint, at + leaseMs);
  return { ok: true, index, value: { endsAt: at + leaseMs } };
}
