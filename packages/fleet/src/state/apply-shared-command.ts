import { RelayError, ResultCode } from '@vanillarelay/core';
import { applyPatch } from '../content/apply-patch.js';
import type { Content } from '../content/content.js';
import { createContent } from '../content/create-content.js';
import type { LogCommand } from './log-command.js';
import type { PatchConfig } from './patch-config.js';
import type { PutConfig } from './put-config.js';
import type { SharedState } from './shared-state.js';

/**
 * Applies a command. The highest version wins: a configuration that is not newer is accepted
 * without effect, so that an operator can safely resend it after a lost reply. Throws
 * `versionConflict` if a patch was built on another configuration.
 */
export function applySharedCommand(
  state: SharedState,
  command: LogCommand,
  index: number,
): SharedState {
  if (command.type === 'putConfig' || command.type === 'patchConfig') {
    if (command.version <= state.version) return state;
    return { ...state, ...buildContent(state, command), index, version: command.version };
  }
  const remaining = state.dataCentresOut.filter((id) => id !== command.dataCentre);
  const isTakeOut = command.type === 'takeOutDataCentre';
  if (isTakeOut === remaining.length < state.dataCentresOut.length) return state;
  return {
    ...state,
    index,
    dataCentresOut: isTakeOut ? [...remaining, command.dataCentre] : remaining,
  };
}

function buildContent(state: SharedState, command: PutConfig | PatchConfig): Content {
  if (command.type === 'putConfig') return createContent(command.source);
  const { baseHash, hash, patch, version } = command;
  if (baseHash === state.hash) {
    const content = createContent(applyPatch(state.source, patch));
    if (content.hash === hash) return content;
  }
  const message = `the patch for version ${version} does not fit version ${state.version}`;
  throw new RelayError(ResultCode.versionConflict, message);
}
