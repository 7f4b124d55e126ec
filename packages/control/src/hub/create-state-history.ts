import { buildMergePatch, type DaemonState, type Frame } from '@vanillarelay/core';

type StatePart = Pick<Frame, 'state' | 'patch'>;

/** Daemons are at most a few versions behind; older ones get the whole state. */
const keptVersions = 16;

/** Makes the recent versions of the daemons' state, from which patches are built. */
export function createStateHistory() {
  const versions = new Map<number, DaemonState>();
  let parts = new Map<number, StatePart>();

  /** Records a state, which the state machine goes on changing; returns whether it is newer. */
  const record = (state: DaemonState): boolean => {
    const newest = [...versions.keys()].at(-1) ?? -1;
    if (state.version <= newest) return false;
    versions.set(state.version, structuredClone(state));
    parts = new Map();
    [...versions.keys()].slice(0, -keptVersions).forEach((version) => versions.delete(version));
    return true;
  };

  const buildPart = (current: DaemonState, askedVersion: number): StatePart => {
    const asked = versions.get(askedVersion);
    if (!asked || askedVersion === 0) return { state: current };
    const patch = buildMergePatch(asked, current);
    const isSmaller = JSON.stringify(patch).length < JSON.stringify(current).length;
    return isSmaller ? { patch } : { state: current };
  };

  return {
    record,
    /** What brings a daemon from its version to the newest one; empty when it has it. */
    findPart(askedVersion: number): StatePart {
      const current = [...versions.values()].at(-1);
      if (!current || current.version <= askedVersion) return {};
      const part = parts.get(askedVersion) ?? buildPart(current, askedVersion);
      parts.set(askedVersion, part);
      return part;
    },
  };
}
