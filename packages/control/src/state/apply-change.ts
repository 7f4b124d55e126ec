import { ResultCode, type Command, type CommandResult, type DaemonState } from '@vanillarelay/core';
import { buildRefusal } from './build-refusal.js';
import type { ChangeEntry } from './change-entry.js';
import type { FleetState } from './fleet-state.js';
import type { Stamp } from './stamp.js';
import { formatChange } from './format-change.js';

type Change = Extract<Command, { changeId: unknown }>;

/** Limit of stored results and of history entries; the oldest are dropped. */
const maxChanges = 10_000;
/** Limit of configurations kept for comparison; each may be hundreds of kilobytes. */
const maxConfigs = 32;

/** Applies an operator's change; a resent change gets its first result. */
export function applyChange(state: FleetState, change: Change, stamp: Stamp): CommandResult {
  const earlier = state.changes.get(change.changeId);
  if (earlier) return earlier;
  const result = applyNewChange(state, change, stamp);
  state.changes.set(change.changeId, result);
  for (const changeId of state.changes.keys()) {
    if (state.changes.size <= maxChanges) break;
    state.changes.delete(changeId);
  }
  return result;
}

function applyNewChange(state: FleetState, change: Change, stamp: Stamp): CommandResult {
  const { daemon } = state;
  const refusal = checkChange(state, change);
  if (refusal) return refusal;
  const next = buildNextState(daemon, change, stamp);
  const isChanged = next !== daemon;
  if (isChanged) state.daemon = { ...next, version: stamp.index };
  if (change.type === 'liftMark') state.crashReports.delete(change.fingerprint);
  const { configVersion, version } = state.daemon;
  state.history.push({
    index: stamp.index,
    changeId: change.changeId,
    operator: change.operator,
    at: stamp.at,
    configVersion,
    type: change.type,
    summary: formatChange(daemon.config, change),
    ...(change.type === 'applyConfig' ? { config: change.config } : {}),
  });
  removeOldConfigs(state);
  if (state.history.length > maxChanges) state.history.shift();
  return { ok: true, index: stamp.index, value: { configVersion, version } };
}

/**
 * Drops the oldest configuration above the limit. Replaces the entry instead of changing it, as
 * snapshots and operators' replies may share it.
 */
function removeOldConfigs({ history }: FleetState): void {
  let kept = 0;
  for (let position = history.length - 1; position >= 0 && kept <= maxConfigs; position -= 1) {
    const entry = history[position];
    if (!entry?.config) continue;
    kept += 1;
    if (kept > maxConfigs) history[position] = buildSummary(entry);
  }
}

function buildSummary({ config, ...summary }: ChangeEntry): ChangeEntry {
  return summary;
}

function checkChange({ daemon, history }: FleetState, change: Change): CommandResult | undefined {
  switch (change.type) {
    case 'applyConfig': {
      if (change.expectedVersion === daemon.configVersion) return undefined;
      const winner = history.findLast(({ type }) => type === 'applyConfig');
      const { changeId, operator } = winner ?? {};
      return buildRefusal(
        ResultCode.versionConflict,
        `expected version ${change.expectedVersion}, current version is ${daemon.configVersion}${
          winner ? `, from change '${changeId}' of ${operator}` : ''
        }`,
        {
          configVersion: daemon.configVersion,
          ...(winner ? { winner: buildSummary(winner) } : {}),
        },
      );
    }
    case 'takeOutDataCentre':
    case 'bringBackDataCentre': {
      const { dataCentre } = change;
      const isKnown = dataCentre in daemon.config.dataCentres;
      if (isKnown || daemon.dataCentresOut.includes(dataCentre)) return undefined;
      const known = Object.keys(daemon.config.dataCentres).sort();
      return buildRefusal(
        ResultCode.unknownTarget,
        `data centre '${dataCentre}' is not configured; known: ${known.join(', ') || 'none'}`,
      );
    }
    case 'liftMark': {
      if (daemon.marks.some(({ fingerprint }) => fingerprint === change.fingerprint)) {
        return undefined;
      }
      return buildRefusal(ResultCode.unknownTarget, `there is no mark '${change.fingerprint}'`);
    }
    default:
      return undefined;
  }
}

/** The daemons' state after a change; the same object when nothing changes. */
function buildNextState(daemon: DaemonState, change: Change, { index }: Stamp): DaemonState {
  switch (change.type) {
    case 'applyConfig':
      return { ...daemon, config: change.config, configVersion: daemon.configVersion + 1 };
    case 'takeOutDataCentre':
    case 'bringBackDataCentre': {
      const isOut = change.type === 'takeOutDataCentre';
      const dataCentresOut = updateList(daemon.dataCentresOut, change.dataCentre, isOut);
      return dataCentresOut ? { ...daemon, dataCentresOut } : daemon;
    }
    case 'drainEndpoint': {
      const draining = updateList(daemon.draining, change.endpoint, change.draining);
      return draining ? { ...daemon, draining } : daemon;
    }
    case 'liftMark': {
      const marks = daemon.marks.filter(({ fingerprint }) => fingerprint !== change.fingerprint);
      return { ...daemon, marks };
    }
    default: {
      const { endpoint, action, target } = change;
      const others = daemon.orders.filter((order) => order.endpoint !== endpoint);
      // The index grows with every order, also across leaders, so it serves as fencing token.
      return { ...daemon, orders: [...others, { endpoint, action, target, fencingToken: index }] };
    }
  }
}

/** The list with or without an item; undefined when it does not change. */
function updateList<T>(list: T[], item: T, isWanted: boolean): T[] | undefined {
  if (list.includes(item) === isWanted) return undefined;
  return isWanted ? [...list, item] : list.filter((other) => other !== item);
}
