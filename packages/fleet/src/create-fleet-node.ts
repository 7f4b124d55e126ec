import {
  RelayError,
  ResultCode,
  withDeadline,
  type Clock,
  type Disk,
  type EventDetails,
  type Random,
  type Timeline,
} from '@vanillarelay/core';
import type { EndpointRecord, EndpointTable } from '@vanillarelay/routing';
import type { DaemonInfo } from './messages/daemon-info.js';
import type { FleetPeer } from './messages/fleet-peer.js';
import type { Observations } from './messages/observations.js';
import type { SharedCommand } from './state/shared-command.js';
import type { SharedState } from './state/shared-state.js';
import { createHub } from './sync/create-hub.js';
import { createSyncClient } from './sync/create-sync-client.js';
import { keepEndpoints } from './sync/keep-endpoints.js';
import { runHubLinks } from './sync/run-hub-links.js';
import { createFounding } from './voter/create-founding.js';
import { openVoter } from './voter/open-voter.js';

interface FleetNodeOptions {
  self: DaemonInfo;
  clock: Clock;
  random: Random;
  timeline: Pick<Timeline, 'record'>;
  table: EndpointTable;
  /** Absent on a VM without a disk. */
  openDisk?: () => Promise<Disk>;
  createDiskId: () => string;
  openPeer: (address: string) => FleetPeer;
  listSeeds: () => string[];
  /** Whether the whole fleet starts for the first time, with empty disks. */
  isFirstStart: boolean;
  /** What this daemon holds and saw. */
  readObservations: () => Observations;
  /** Calls back with what the other daemons hold and saw. */
  notifyObservations: (observations: Observations) => void;
  notifyState: (state: SharedState) => void;
}

/** Operators ask another daemon after a second without an answer. */
const operatorCallMs = 900;
/** One node's part of that time; the leader may be the one that is cut off. */
const leaderCallMs = 500;
const leaderRetryMs = 50;
const announceMs = 800;
const silenceCheckMs = 500;
/** A hub serves its own daemon while it knew of a quorum within this time. */
const ownHubAgeMs = 1_000;

/** Makes this daemon's part in the fleet: discovery, shared state, endpoints and load. */
export function createFleetNode(options: FleetNodeOptions) {
  const { self, clock, timeline, table, openPeer } = options;
  const stopping = new AbortController();
  const record = (name: string, details?: EventDetails) => timeline.record(name, details);

  const voter =
    options.openDisk &&
    openVoter({
      ...options,
      id: self.id,
      address: self.address,
      openDisk: options.openDisk,
      openPeer: (address) => openPeer(address).raft,
      listNodes: () =>
        hub.daemons
          .listAll()
          .flatMap(({ id, address, diskId }) =>
            diskId === undefined ? [] : [{ id, address, diskId }],
          ),
      notify: () => hub.wake(),
    });
  const hub = createHub({
    ...{ clock, table, voter, openPeer, record },
    incarnation: self.incarnation,
    address: self.address,
  });
  const founding = createFounding({
    clock,
    isCoordinator: options.isFirstStart && options.listSeeds()[0] === self.address,
  });

  const readSelf = (): DaemonInfo => {
    const diskId = voter?.readDiskId();
    return diskId === undefined ? self : { ...self, diskId };
  };
  const isMember = (): boolean =>
    voter?.readMembers().some(({ address }) => address === self.address) ?? false;
  const handlers: FleetPeer = {
    hello: async (request) => {
      founding.receive(request);
      const hubs = voter?.readMembers().map(({ address }) => address) ?? [];
      const founders = founding.readFounders();
      return {
        hubs: hubs.length > 0 ? hubs : [...client.view.hubs],
        ...(founders ? { founders } : {}),
      };
    },
    sync: hub.sync,
    announce: hub.announce,
    propose: async (command) => {
      if (!voter) throw new RelayError(ResultCode.notLeader, 'no disk here', { notRun: true });
      return voter.propose(command);
    },
    readState: async ({ knownIndex }) => {
      if (!voter) throw new RelayError(ResultCode.notLeader, 'no disk here', { notRun: true });
      const state = await voter.readConfirmedState();
      const { index } = state;
      return index === knownIndex ? { index } : { index, state };
    },
    raft: voter?.handlers ?? refusingRaft,
  };
  const openAny = (address: string): FleetPeer =>
    address === self.address ? handlers : openPeer(address);

  const client = createSyncClient({
    clock,
    readSelf,
    table,
    record,
    listSeeds: options.listSeeds,
    isOwnHub: () => isMember() && (voter?.readQuorumAgeMs() ?? Infinity) <= ownHubAgeMs,
    mayFound: () => options.isFirstStart && voter?.readDiskId() !== undefined && !isMember(),
    openPeer: openAny,
    readObservations: options.readObservations,
    receiveFounders: (founders) => voter?.found(founders),
    notifyObservations: options.notifyObservations,
    notifyState: options.notifyState,
  });

  /** Asks the leader, then every hub, in rounds until one gives a clear answer. */
  const callLeader = async <T>(
    call: (peer: FleetPeer, signal: AbortSignal) => Promise<T>,
  ): Promise<T> => {
    const until = clock.monotonic() + operatorCallMs;
    let failure: unknown = new RelayError(ResultCode.noQuorum, 'no hub is known', { notRun: true });
    while (clock.monotonic() < until) {
      const { leader } = client.view;
      const first = leader === undefined ? [] : [leader];
      for (const address of new Set([...first, ...client.listHubs()])) {
        const leftMs = Math.min(until - clock.monotonic(), leaderCallMs);
        if (leftMs <= 0) break;
        try {
          return await withDeadline(clock, leftMs, (signal) => call(openAny(address), signal));
        } catch (error) {
          failure = error;
        }
      }
      await clock.wait(leaderRetryMs);
    }
    throw failure;
  };

  const readConfirmedState = async (): Promise<SharedState> => {
    const known = client.view.state;
    const { state } = await callLeader((peer, signal) =>
      peer.readState({ knownIndex: known.index }, signal),
    );
    return state ?? known;
  };

  const announce = async (entry: EndpointRecord): Promise<void> => {
    const until = clock.monotonic() + announceMs;
    let failure: unknown = new RelayError(ResultCode.noQuorum, 'no hub is known');
    for (const address of client.listHubs()) {
      const leftMs = until - clock.monotonic();
      if (leftMs <= 0) break;
      try {
        await withDeadline(clock, leftMs, (signal) =>
          openAny(address).announce({ record: entry, isRelayed: false }, signal),
        );
        return;
      } catch (error) {
        failure = error;
      }
    }
    throw failure;
  };

  const runSilenceChecks = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      await clock.wait(silenceCheckMs, stopping.signal);
      table.removeDeparted();
      // Hubs hear of all announcements, but for those that are out of touch; other daemons do not.
      const isInTouch = clock.monotonic() - client.view.contactAt < ownHubAgeMs * 2;
      if (!isMember() || !isInTouch) continue;
      table.checkSilence().forEach((endpoint) => record('endpoint.silent', { endpoint }));
    }
  };

  return {
    handlers,
    view: client.view,
    start: (): void => {
      voter?.start();
      client.start();
      void runSilenceChecks();
      if (options.openDisk) {
        const { openDisk } = options;
        void keepEndpoints({ clock, table, openDisk, record, signal: stopping.signal });
      }
      if (voter) {
        void runHubLinks({
          ...{ clock, readSelf, openPeer, table, hub, record },
          listHubs: () => (isMember() ? voter.readMembers().map(({ address }) => address) : []),
          signal: stopping.signal,
        });
      }
    },
    stop: (): void => {
      stopping.abort();
      client.stop();
      voter?.stop();
    },
    propose: (command: SharedCommand) =>
      callLeader((peer, signal) => peer.propose(command, signal)),
    /** The newest state, confirmed by a quorum. */
    readConfirmedState,
    announce,
    readControlSummary: () => voter?.readSummary(),
  };
}

const refuse = async (): Promise<never> => {
  throw new RelayError(ResultCode.notMember, 'this daemon has no disk', { notRun: true });
};

const refusingRaft: FleetPeer['raft'] = {
  requestVote: refuse,
  appendEntries: refuse,
  installSnapshot: refuse,
  readSender: refuse,
};
