import { buildMergePatch, type DaemonState, type Frame } from '@vanillarelay/core';

type StateUpdate = Pick<Frame, 'state' | 'patch'>;

/** Number of versions kept; a daemon that is further behind, which is rare, gets the full state. */
const maxVersions = 16;

/** Creates the history of recent daemon states, from which patches are built. */
export function createStateHistory() {
  const versions = new Map<number, DaemonState>();
  /** Updates to the newest version, by base version. */
  let updates = new Map<number, StateUpdate>();

  /** Records a copy, which later changes cannot alter; returns whether the version is newer. */
  const record = (state: DaemonState): boolean => {
    const newest = [...versions.keys()].at(-1) ?? -1;
    if (state.version <= newest) return false;
    versions.set(state.version, structuredClone(state));
    updates = new Map();
    [...versions.keys()].slice(0, -maxVersions).forEach((version) => versions.delete(version));
    return true;
  };

  const buildUpdate = (current: DaemonState, baseVersion: number): StateUpdate => {
    const base = versions.get(baseVersion);
    if (!base || baseVersion === 0) return { state: current };
    const patch = buildMergePatch(base, current);
    const isSmaller = JSON.stringify(patch).length < JSON.stringify(current).length;
    return isSmaller ? { patch } : { state: current };
  };

  return {
    record,
    /** Update from the version of a daemon to the newest one; empty when it is up to date. */
    findUpdate(baseVersion: number): StateUpdate {
      const current = [...versions.values()].at(-1);
      if (!current || current.version <= baseVersion) return {};
      const update = updates.get(baseVersion) ?? buildUpdate(current, baseVersion);
      updates.set(baseVersion, update);
      return update;
    },
  };
}
