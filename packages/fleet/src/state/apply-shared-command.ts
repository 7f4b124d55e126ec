import { RelayError, ResultCode } from '@vanillarelay/core';
import { applyPatch } from '../content/apply-patch.js';
import type { Content } from '../content/content.js';
import { createContent } from '../content/create-content.js';
import { applyRolloutCommand } from './apply-rollout-command.js';
import type { DataCentreCommand } from './data-centre-command.js';
import type { LogCommand } from './log-command.js';
import type { PatchConfig } from './patch-config.js';
import type { PutConfig } from './put-config.js';
import type { SharedState } from './shared-state.js';

/**
 * Applies a command. The highest version wins: a configuration that is not newer is accepted
 * without effect, so that an operator can safely resend it after a lost reply. Throws
 * `versionConflict` if a patch was built on another configuration, and `staleFencingToken` if a
 * command for a data centre would undo an order that was accepted after its base. Commands for
 * roll-outs are described at `applyRolloutCommand`.
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
  if (command.type === 'startRollout' || command.type === 'endRollout') {
    return applyRolloutCommand(state, command, index);
  }
  return applyDataCentreCommand(state, command, index);
}

function applyDataCentreCommand(
  state: SharedState,
  command: DataCentreCommand,
  index: number,
): SharedState {
  const { type, dataCentre, base = Infinity } = command;
  const remaining = state.dataCentresOut.filter((id) => id !== dataCentre);
  const isOut = remaining.length < state.dataCentresOut.length;
  const isTakeOut = type === 'takeOutDataCentre';
  const isChange = isTakeOut !== isOut;
  if (isChange && (state.orderIndexes[dataCentre] ?? 0) > base) {
    const message = `${type} ${dataCentre} is older than the last order`;
    throw new RelayError(ResultCode.staleFencingToken, message, { notRun: true });
  }
  const changed = isTakeOut ? [...remaining, dataCentre] : remaining;
  return {
    ...state,
    index,
    dataCentresOut: isChange ? changed : state.dataCentresOut,
    // An order that changes nothing is acknowledged, so it outdates earlier ones too.
    orderIndexes: { ...state.orderIndexes, [dataCentre]: index },
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
