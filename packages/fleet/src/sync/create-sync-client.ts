import { withDeadline, type Clock, type EventDetails } from '@vanillarelay/core';
import type { EndpointTable } from '@vanillarelay/routing';
import type { DaemonInfo } from '../messages/daemon-info.js';
import type { FleetPeer } from '../messages/fleet-peer.js';
import type { Founder } from '../messages/founder.js';
import type { Observations } from '../messages/observations.js';
import type { SyncReply } from '../messages/sync-reply.js';
import { emptySharedState } from '../state/empty-shared-state.js';
import type { SharedState } from '../state/shared-state.js';
import { createExchange } from './create-exchange.js';
import type { FleetView } from './fleet-view.js';
import { sortHubs } from './sort-hubs.js';

interface SyncClientOptions {
  clock: Clock;
  readSelf: () => DaemonInfo;
  /** Addresses of daemons that may know the hubs. */
  listSeeds: () => string[];
  /** Whether this daemon is a hub that may be used now. */
  isOwnHub: () => boolean;
  mayFound: () => boolean;
  openPeer: (address: string) => FleetPeer;
  table: EndpointTable;
  readObservations: () => Observations;
  /** Calls back with who founds the control group. */
  receiveFounders: (founders: Founder[]) => void;
  /** Calls back with what the other daemons hold and saw. */
  notifyObservations: (observations: Observations) => void;
  /** Calls back when the shared state changed. */
  notifyState: (state: SharedState) => void;
  record: (name: string, details?: EventDetails) => void;
}

const pollWaitMs = 200;
const minPauseMs = 60;
const helloTimeoutMs = 400;
const retryMs = 100;
/** A hub that has not known of a quorum for longer is left for another one. */
const quorumAgeLimitMs = 1_000;
/** After its start a daemon takes no state from a hub that is out of touch with the quorum. */
const firstQuorumAgeMs = 2_000;
/** Another hub is tried for this long after one failed or lost touch with the quorum. */
const doubtMs = 1_500;

/** Makes the task that keeps this daemon's view in line with one hub, and finds another when it fails. */
export function createSyncClient(options: SyncClientOptions) {
  const { clock, readSelf, openPeer, table, record } = options;
  const abort = new AbortController();
  const view: FleetView = {
    state: emptySharedState,
    isCurrent: false,
    hubs: [],
    daemons: [readSelf()],
    contactAt: Number.NEGATIVE_INFINITY,
  };
  let hub: string | undefined;
  const callHub = createExchange({ clock, readSelf, openPeer, table });
  /** Announcements up to this mark were told to a hub. */
  let toldMark = 0;
  /** Hubs that failed or are out of touch with the quorum, and until when others are tried first. */
  const doubts = new Map<string, { until: number; isReachable: boolean }>();

  const addDoubt = (address: string, isReachable: boolean): void => {
    doubts.set(address, { until: clock.monotonic() + doubtMs, isReachable });
  };

  const updateState = (next: SharedState): void => {
    if (next.index <= view.state.index) return;
    view.state = next;
    options.notifyState(next);
  };

  const applyReply = (reply: SyncReply): void => {
    const { quorumAgeMs } = reply;
    if (reply.hubs.length > 0) view.hubs = reply.hubs;
    if (reply.daemons) view.daemons = reply.daemons;
    options.notifyObservations(reply.observations);
    if (reply.leader === undefined) delete view.leader;
    else view.leader = reply.leader;
    if (quorumAgeMs <= quorumAgeLimitMs) view.contactAt = clock.monotonic();
    const isTrusted = view.isCurrent || quorumAgeMs <= firstQuorumAgeMs;
    if (reply.state && isTrusted) updateState(reply.state);
    if (!view.isCurrent && quorumAgeMs <= firstQuorumAgeMs) {
      view.isCurrent = true;
      record('fleet.current', { index: view.state.index, version: view.state.version });
    }
  };

  /** A hub without doubt, this daemon's own first; else one that answers without a quorum. */
  const chooseHub = (): string | undefined => {
    const self = readSelf();
    const others = sortHubs(view.hubs, self).filter((one) => one !== self.address);
    const own = options.isOwnHub() ? [self.address] : [];
    const current = hub === undefined || hub === self.address ? [] : [hub];
    const order = [...own, ...current, ...others];
    const isDoubted = (one: string) => (doubts.get(one)?.until ?? 0) > clock.monotonic();
    const trusted = order.find((one) => !isDoubted(one));
    return trusted ?? order.find((one) => doubts.get(one)?.isReachable);
  };

  const exchange = async (address: string): Promise<void> => {
    if (address !== hub) record('fleet.hubChosen', { hub: address, before: hub ?? '' });
    hub = address;
    const mark = table.readLastMark();
    const reply = await callHub(address, {
      isHub: false,
      stateIndex: view.isCurrent ? view.state.index : -1,
      observations: options.readObservations(),
      // This daemon's own hub shares its table.
      heard: address === readSelf().address ? [] : table.listHeard(toldMark),
      waitMs: view.isCurrent ? pollWaitMs : 0,
    });
    toldMark = mark;
    applyReply(reply);
    if (reply.quorumAgeMs > quorumAgeLimitMs) addDoubt(address, true);
    else doubts.delete(address);
  };

  /** Asks the seeds and every known hub who the hubs are. */
  const findHubs = async (): Promise<void> => {
    const { address } = readSelf();
    const asked = [...new Set([...options.listSeeds(), ...view.hubs])];
    const request = { from: readSelf(), mayFound: options.mayFound() };
    await Promise.all(
      asked.map(async (peer) => {
        try {
          const reply = await withDeadline(clock, helloTimeoutMs, (signal) =>
            openPeer(peer).hello(request, signal),
          );
          const others = reply.hubs.filter((one) => one !== address || options.isOwnHub());
          view.hubs = [...new Set([...others, ...view.hubs])];
          if (reply.founders) options.receiveFounders(reply.founders);
        } catch (error) {
          if (view.isCurrent) {
            record('fleet.seedFailed', { peer, reason: (error as Error).message });
          }
        }
      }),
    );
  };

  const run = async (): Promise<void> => {
    while (!abort.signal.aborted) {
      const address = chooseHub();
      if (address === undefined) {
        await findHubs();
        await clock.wait(retryMs, abort.signal);
        continue;
      }
      try {
        await exchange(address);
        await clock.wait(minPauseMs, abort.signal);
      } catch (error) {
        addDoubt(address, false);
        record('fleet.hubFailed', { hub: address, reason: (error as Error).message });
      }
    }
  };

  return {
    view: view as Readonly<FleetView>,
    start: (): void => {
      void run();
    },
    stop: (): void => abort.abort(),
    /** The hub in use, else any that is known. */
    listHubs: (): string[] => [...new Set([...(hub === undefined ? [] : [hub]), ...view.hubs])],
  };
}
