import {
  applyMergePatch,
  createSource,
  type DaemonState,
  type EndpointId,
  type Frame,
  type Member,
} from '@vanillarelay/core';
import { applyMembers } from './apply-members.js';
import { buildLoads } from './build-loads.js';
import type { FleetView } from './fleet-view.js';

interface StatePart {
  state?: DaemonState;
  patch?: unknown;
  stateVersion: number;
}

/** Makes the daemon's view of the fleet. Its state never goes back to an older version. */
export function createViewStore() {
  let table = createTable();
  /** A new membership that is not complete yet; the old one stays in use until it is. */
  let incoming: ReturnType<typeof createTable> | undefined;
  const { stream, push } = createSource<FleetView>();
  let view: FleetView = {
    state: undefined,
    members: new Map(),
    loads: new Map(),
    means: {},
    shares: {},
  };

  const readVersion = (): number => view.state?.version ?? 0;

  const isNewer = (state: DaemonState | undefined): state is DaemonState =>
    state !== undefined && (view.state === undefined || state.version > view.state.version);

  const replaceState = (state: DaemonState | undefined): void => {
    if (isNewer(state)) view = { ...view, state };
  };

  /** A patch fits only the version that the daemon named when it asked. */
  const applyPart = ({ state, patch, stateVersion }: StatePart, askedVersion: number): void => {
    replaceState(state);
    if (patch === undefined || view.state?.version !== askedVersion) return;
    const patched = applyMergePatch(view.state, patch) as DaemonState;
    if (patched.version === stateVersion) replaceState(patched);
  };

  const receiveMembers = (frame: Frame): void => {
    if (frame.whole) incoming = createTable();
    const isChanged = applyMembers(incoming ?? table, frame) || incoming !== undefined;
    if (frame.more) return;
    table = incoming ?? table;
    incoming = undefined;
    view = {
      state: view.state,
      members: isChanged ? new Map(table.members) : view.members,
      loads: buildLoads(table.members, table.slots, frame.loads),
      means: frame.means,
      shares: frame.shares,
    };
  };

  return {
    views: stream,
    readView: (): FleetView => view,
    readVersion,
    /** Takes a newer state over and tells the observers of the view. */
    updateState: (part: StatePart, askedVersion: number): void => {
      const version = readVersion();
      applyPart(part, askedVersion);
      if (readVersion() !== version) push(view);
    },
    updateByFrame: (frame: Frame, askedVersion: number): void => {
      receiveMembers(frame);
      applyPart(frame, askedVersion);
      push(view);
    },
  };
}

function createTable() {
  return { members: new Map<EndpointId, Member>(), slots: new Map<EndpointId, number>() };
}
