import {
  RelayError,
  ResultCode,
  withTimeout,
  type Clock,
  type Disk,
  type EventDetails,
  type Random,
  type Timeline,
} from '@vanillarelay/core';
import type { EndpointRecord, EndpointTable } from '@vanillarelay/routing';
import { createContentStore } from './content/create-content-store.js';
import { emptyContent } from './content/empty-content.js';
import { checkAddresses } from './messages/check-addresses.js';
import { checkDaemonInfo } from './messages/check-daemon-info.js';
import { checkRemovalRequest } from './messages/check-removal-request.js';
import type { DaemonInfo } from './messages/daemon-info.js';
import type { FleetPeer } from './messages/fleet-peer.js';
import type { Observations } from './messages/observations.js';
import { createOperatorCalls } from './proposals/create-operator-calls.js';
import { listAgedRollouts } from './state/list-aged-rollouts.js';
import type { AgedRollout } from './state/aged-rollout.js';
import type { SharedState } from './state/shared-state.js';
import { createEndpointPersistence } from './sync/create-endpoint-persistence.js';
import { createHeldCalls } from './sync/create-held-calls.js';
import { createHub } from './sync/create-hub.js';
import { createRolloutAges } from './sync/create-rollout-ages.js';
import { createSyncClient } from './sync/create-sync-client.js';
import { runHubAnnouncements } from './sync/run-hub-announcements.js';
import { runHubLinks } from './sync/run-hub-links.js';
import { createFounderSelection } from './voter/create-founder-selection.js';
import { openVoter } from './voter/open-voter.js';
import { runGroupLeave } from './voter/run-group-leave.js';
import type { Voter } from './voter/voter.js';

interface FleetNodeOptions {
  self: DaemonInfo;
  clock: Clock;
  random: Random;
  timeline: Pick<Timeline, 'record'>;
  table: EndpointTable;
  /** Absent on a VM without a disk. */
  openDisk?: () => Promise<Disk>;
  createDiskId: () => string;
  /** Size of the log above which the voter takes a snapshot; has a default. */
  snapshotBytes?: number;
  openPeer: (address: string) => FleetPeer;
  /** Resolves once everything that has reached this process by now was read. */
  waitForInput: () => Promise<void>;
  listSeeds: () => string[];
  /** Whether the whole fleet starts for the first time, with empty disks. */
  isFirstStart: boolean;
  /** Returns this daemon's own observations. */
  readObservations: () => Observations;
  /** Called with the summed observations of the other daemons. */
  notifyObservations: (observations: Observations) => void;
  notifyState: (state: SharedState) => void;
}

const announceTimeoutMs = 800;
const silenceCheckIntervalMs = 500;
/** A daemon uses its own hub only if the state of that hub is at most this old. */
const stateAgeLimitMs = 1_000;

/**
 * Creates a daemon's fleet node, which finds the other daemons and shares the configuration,
 * endpoint records and observed loads with them.
 */
export function createFleetNode(options: FleetNodeOptions) {
  const { self, clock, timeline, table, openPeer } = options;
  const stopping = new AbortController();
  const record = (name: string, details?: EventDetails) => timeline.record(name, details);

  const contents = createContentStore();
  const rolloutAges = createRolloutAges(clock);

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
      contents,
      notify: () => {
        keepContent();
        recordRolloutAges();
        hub.wake();
      },
    });
  const persistence =
    options.openDisk &&
    createEndpointPersistence({
      ...{ clock, table, openDisk: options.openDisk, record, signal: stopping.signal },
    });
  const hub = createHub({
    ...{ clock, table, voter, contents, rolloutAges, openPeer, record },
    waitUntilDurable: async (signal) => {
      if (!persistence) throw new RelayError(ResultCode.notMember, 'this daemon has no disk');
      await persistence.waitUntilDurable(signal);
    },
    incarnation: self.incarnation,
    address: self.address,
  });
  /** Keeps the configuration in force, as a base for daemons that hold it after the next change. */
  const keepContent = (): void => {
    const { hash, source } = voter?.readState() ?? emptyContent;
    contents.add({ hash, source });
  };
  const recordRolloutAges = (): void => {
    if (voter) rolloutAges.recordHeld(voter.readState(), voter.readStateAgeMs());
  };
  const founderSelection = createFounderSelection({
    clock,
    isCoordinator: options.isFirstStart && options.listSeeds()[0] === self.address,
  });

  let isLeaving = false;
  const readSelf = (): DaemonInfo => {
    const diskId = voter?.readDiskId();
    // The leader adds the nodes whose disks are known to the group.
    return diskId === undefined || isLeaving ? self : { ...self, diskId };
  };
  const isMember = (): boolean =>
    voter?.readMembers().some(({ address }) => address === self.address) ?? false;
  const listKnownHubs = (): string[] => {
    const hubs = voter?.readMembers().map(({ address }) => address) ?? [];
    return hubs.length > 0 ? hubs : [...client.view.hubs];
  };
  const helloWaits = createHeldCalls({ clock, canAnswer: () => listKnownHubs().length > 0 });
  const findVoter = (): Voter => {
    if (voter) return voter;
    throw new RelayError(ResultCode.notLeader, 'daemon has no disk', { notRun: true });
  };
  const handlers: FleetPeer = {
    hello: async (request) => {
      checkDaemonInfo(request.from);
      checkAddresses(request.hubs);
      founderSelection.receive(request);
      client.addHubs(request.hubs);
      // A founder waits for the selection, which needs the questions of the others.
      if (!request.mayFound) await helloWaits.wait(request.waitMs);
      const founders = founderSelection.readFounders();
      return { hubs: listKnownHubs(), ...(founders ? { founders } : {}) };
    },
    sync: hub.sync,
    announce: hub.announce,
    propose: async (proposal) => findVoter().propose(proposal),
    readIndex: async () => findVoter().readIndex(),
    requestRemoval: async (request) => {
      checkRemovalRequest(request);
      await findVoter().removeLeavingMember(request.diskId);
    },
    raft: voter?.handlers ?? refusingRaft,
  };
  const openPeerOrSelf = (address: string): FleetPeer =>
    address === self.address ? handlers : openPeer(address);

  const client = createSyncClient({
    clock,
    random: options.random,
    readSelf,
    ...{ table, rolloutAges, record },
    listSeeds: options.listSeeds,
    isOwnHub: () => isMember() && (voter?.readStateAgeMs() ?? Infinity) <= stateAgeLimitMs,
    mayFound: () => options.isFirstStart && voter?.readDiskId() !== undefined && !isMember(),
    openPeer: openPeerOrSelf,
    findContent: contents.find,
    readObservations: options.readObservations,
    receiveFounders: (founders) => voter?.found(founders),
    notifyObservations: options.notifyObservations,
    notifyState: options.notifyState,
  });

  const calls = createOperatorCalls({
    ...{ clock, record, view: client.view, waitForInput: options.waitForInput },
    isRecentRollout: rolloutAges.isRecent,
    listHubs: client.listHubs,
    openPeer: openPeerOrSelf,
  });

  const announce = async (endpointRecord: EndpointRecord): Promise<void> => {
    const deadline = clock.monotonic() + announceTimeoutMs;
    let failure: unknown = new RelayError(ResultCode.noQuorum, 'no hub is known');
    for (const address of client.listHubs()) {
      const remainingMs = deadline - clock.monotonic();
      if (remainingMs <= 0) break;
      try {
        await withTimeout(clock, remainingMs, (signal) =>
          openPeerOrSelf(address).announce({ record: endpointRecord, isRelayed: false }, signal),
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
      await clock.wait(silenceCheckIntervalMs, stopping.signal);
      table.removeDeparted();
      // Only a hub in contact with the quorum receives all announcements, so only such a hub
      // checks for silence.
      const hasQuorumContact =
        clock.monotonic() - client.view.quorumContactAt < stateAgeLimitMs * 2;
      if (!isMember() || !hasQuorumContact) continue;
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
      void persistence?.run();
      if (voter) {
        const { listSeeds } = options;
        const { signal } = stopping;
        const listHubs = () =>
          isMember() ? voter.readMembers().map(({ address }) => address) : [];
        void runHubLinks({
          ...{ clock, readSelf, openPeer, table, hub, rolloutAges, record, listHubs, signal },
        });
        void runHubAnnouncements({
          ...{ clock, random: options.random, readSelf, openPeer, record },
          ...{ listSeeds, listHubs, signal },
        });
      }
    },
    stop: (): void => {
      stopping.abort();
      client.stop();
      voter?.stop();
    },
    /**
     * Begins the planned stop of this daemon: its voter leaves the control group where the others can
     * do without it, and keeps its seat otherwise.
     */
    startLeaving: (): void => {
      isLeaving = true;
      if (!voter) return;
      voter.startLeaving();
      void runGroupLeave({
        ...{ clock, voter, record, openPeer: openPeerOrSelf, signal: stopping.signal },
      });
    },
    /** Whether this daemon is about to leave the control group, and should wait for that. */
    isAwaitingLeave: (): boolean => voter?.isAwaitingLeave() ?? false,
    ...calls,
    announce,
    /** Whether this daemon is a member of the control group. */
    isHub: isMember,
    /** Lists the last roll-out of each service, with the time since its start. */
    listRollouts: (): AgedRollout[] => listAgedRollouts(client.view.state, rolloutAges.readAgeMs),
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
