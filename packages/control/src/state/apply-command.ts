import type { Command, CommandResult } from '@vanillarelay/core';
import { applyChange } from './apply-change.js';
import { applyEndpointCommand } from './apply-endpoint-command.js';
import { applyRecordCommand } from './apply-record-command.js';
import { removeExpired } from './remove-expired.js';
import type { FleetState } from './fleet-state.js';

/** Applies a committed command to the state, with the same result on every node. */
export function applyCommand(
  state: FleetState,
  command: Command,
  index: number,
  at = state.at,
): CommandResult {
  const stamp = { index, at };
  removeExpired(state, stamp);
  switch (command.type) {
    case 'batch': {
      const value = command.commands.map((item) => applyRecordCommand(state, item, stamp));
      return { ok: true, index, value };
    }
    case 'claim':
    case 'complete':
    case 'abandon':
    case 'void':
      return applyRecordCommand(state, command, stamp);
    case 'reportCrash':
    case 'clearMark':
    case 'takePermit':
    case 'releasePermit':
      return applyEndpointCommand(state, command, stamp);
    default:
      return applyChange(state, command, stamp);
  }
}
