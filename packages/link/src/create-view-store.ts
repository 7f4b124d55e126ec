import {
  applyMergePatch,
  createPushStream,
  type DaemonState,
  type EndpointId,
  type Frame,
  type Member,
} from '@vanillarelay/core';
import { applyMembers } from './apply-members.js';
import { buildLoads } from './build-loads.js';
import type { FleetView } from './fleet-view.js';

interface StateUpdate {
  state?: DaemonState;
  patch?: unknown;
  stateVersion: number;
}

/** Creates the store of a daemon's fleet view, in which only a newer state replaces the state. */
export function createViewStore() {
  let table = createTable();
  /** A new membership that is still incomplete; the old one stays in use until it is complete. */
  let incoming: ReturnType<typeof createTable> | undefined;
  const { stream, push } = createPushStream<FleetView>();
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

  /** Applies a state or a patch; a patch applies only to the version named in the request. */
  const applyStateUpdate = (
    { state, patch, stateVersion }: StateUpdate,
    baseVersion: number,
  ): void => {
    replaceState(state);
    if (patch === undefined || view.state?.version !== baseVersion) return;
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
    /** Applies a newer state and notifies the observers of the view. */
    updateState: (update: StateUpdate, baseVersion: number): void => {
      const version = readVersion();
      applyStateUpdate(update, baseVersion);
      if (readVersion() !== version) push(view);
    },
    updateByFrame: (frame: Frame, baseVersion: number): void => {
      receiveMembers(frame);
      applyStateUpdate(frame, baseVersion);
      push(view);
    },
  };
}

function createTable() {
  return { members: new Map<EndpointId, Member>(), slots: new Map<EndpointId, number>() };
}
