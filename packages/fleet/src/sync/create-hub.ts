import {
  RelayError,
  ResultCode,
  withTimeout,
  type Clock,
  type EventDetails,
} from '@vanillarelay/core';
import {
  checkEndpointRecord,
  type EndpointRecord,
  type EndpointTable,
} from '@vanillarelay/routing';
import type { ContentStore } from '../content/content-store.js';
import { checkDaemonInfo } from '../messages/check-daemon-info.js';
import { checkObservations } from '../messages/check-observations.js';
import type { FleetPeer } from '../messages/fleet-peer.js';
import type { SyncReply } from '../messages/sync-reply.js';
import type { SyncRequest } from '../messages/sync-request.js';
import type { Voter } from '../voter/voter.js';
import { createDaemonTable } from './create-daemon-table.js';
import { createHeldCalls } from './create-held-calls.js';
import { createWaitingPolls } from './create-waiting-polls.js';
import type { RolloutAgeRecord } from './rollout-age-record.js';

interface HubOptions {
  clock: Clock;
  incarnation: string;
  address: string;
  table: EndpointTable;
  voter: Voter | undefined;
  contents: ContentStore;
  rolloutAges: RolloutAgeRecord;
  openPeer: (address: string) => FleetPeer;
  record: (name: string, details?: EventDetails) => void;
  /** Resolves once all changes of the table up to now are on this daemon's disk. */
  waitUntilDurable: (signal: AbortSignal) => Promise<void>;
}

/** Longest wait of a sync request before it checks for changes again. */
const pollIntervalMs = 100;
const relayTimeoutMs = 400;
/** State age above which a daemon that starts cannot use the state; see the sync client. */
const usableStateAgeMs = 2_000;
/** Endpoint records in one reply, which bounds how long it occupies a slow link. */
const maxRecords = 64;

/** Creates a daemon's hub, which answers sync requests and relays announcements to other hubs. */
export function createHub(options: HubOptions) {
  const { clock, incarnation, address, table, voter, contents, openPeer } = options;
  const daemons = createDaemonTable(clock);
  const polls = createWaitingPolls(clock);
  table.observe(polls.wake);
  const readStateAgeMs = (): number => voter?.readStateAgeMs() ?? Infinity;
  const quorumWaits = createHeldCalls({
    clock,
    canAnswer: () => !voter || readStateAgeMs() <= usableStateAgeMs,
  });

  const listHubs = (): string[] => voter?.readMembers().map((member) => member.address) ?? [];

  const hasChanges = ({ stateIndex, cursor, hubIncarnation }: SyncRequest): boolean =>
    hubIncarnation !== incarnation ||
    table.readLastChange() > cursor ||
    (voter?.readState().index ?? 0) > stateIndex;

  const waitForChanges = async (request: SyncRequest, signal: AbortSignal): Promise<void> => {
    const deadline = clock.monotonic() + request.waitMs;
    while (!hasChanges(request) && clock.monotonic() < deadline && !signal.aborted) {
      await polls.wait(Math.min(pollIntervalMs, deadline - clock.monotonic()));
    }
  };

  /** The newer state without its source, and the next part of what the daemon lacks of that. */
  const buildStateReply = ({
    from,
    stateIndex,
    content,
  }: SyncRequest): Pick<SyncReply, 'state' | 'part'> => {
    const state = voter?.readState();
    if (!state || state.index <= stateIndex) return {};
    const { source, ...summary } = state;
    const target = { hash: state.hash, source };
    contents.add(target);
    // This daemon's own client reads the store of the hub.
    if (from.address === address) return { state: summary };
    const part = contents.buildNextPart(target, content);
    return { state: summary, ...(part ? { part } : {}) };
  };

  const buildRolloutAges = (): Pick<SyncReply, 'rolloutAges'> => {
    const rolloutAges = voter ? options.rolloutAges.listAges(voter.readState()) : [];
    return rolloutAges.length > 0 ? { rolloutAges } : {};
  };

  const buildReply = (request: SyncRequest): SyncReply => {
    const { from, isHub, daemonsVersion } = request;
    const isSameIncarnation = request.hubIncarnation === incarnation;
    const leader = voter?.findLeader();
    const version = daemons.readVersion(isHub ? 'direct' : 'all');
    const list = isHub ? daemons.listDirect() : daemons.listAll();
    const known = isSameIncarnation ? request.cursor : 0;
    const { records, cursor } = table.listChanges(known, maxRecords);
    return {
      hubIncarnation: incarnation,
      ...{ records, cursor, hasMoreRecords: cursor < table.readLastChange() },
      // Daemons that are not hubs read from the records which endpoints are silent.
      heard: isHub ? table.listHeard(isSameIncarnation ? request.heardCursor : 0) : [],
      heardCursor: table.readLastHeardCursor(),
      ...buildStateReply(request),
      ...buildRolloutAges(),
      stateAgeMs: Math.round(Math.min(readStateAgeMs(), maxAgeMs)),
      ...(leader === undefined ? {} : { leader }),
      hubs: listHubs(),
      daemonsVersion: version,
      ...(isSameIncarnation && daemonsVersion === version ? {} : { daemons: list }),
      observations: isHub ? daemons.sumDirect() : daemons.sumWithout(from.id),
    };
  };

  /** Lets one hub, which may be this daemon, write a record to its disk. */
  const writeRecord = (hub: string, record: EndpointRecord, signal: AbortSignal): Promise<void> =>
    hub === address
      ? options.waitUntilDurable(signal)
      : openPeer(hub).announce({ record, isRelayed: true }, signal);

  /** Resolves once a majority of the hubs, this daemon included, has a record on disk. */
  const relay = async (record: EndpointRecord): Promise<void> => {
    const hubs = listHubs();
    const needed = Math.floor(hubs.length / 2) + 1;
    let confirmed = 0;
    let pending = hubs.length;
    await new Promise<void>((resolve, reject) => {
      const settle = () => {
        if (confirmed >= needed) resolve();
        else if (pending === 0) {
          reject(new RelayError(ResultCode.noQuorum, 'too few hubs confirmed the endpoint record'));
        }
      };
      settle();
      hubs.forEach(async (hub) => {
        try {
          await withTimeout(clock, relayTimeoutMs, (signal) => writeRecord(hub, record, signal));
          confirmed += 1;
        } catch (error) {
          options.record('fleet.relayFailed', {
            ...{ hub, endpoint: record.id },
            reason: (error as Error).message,
          });
        }
        pending -= 1;
        settle();
      });
    });
  };

  const checkRecord = (received: EndpointRecord): EndpointRecord => {
    try {
      return checkEndpointRecord(received);
    } catch (error) {
      options.record('endpoint.invalid', { reason: (error as Error).message });
      throw error;
    }
  };

  return {
    wake: polls.wake,
    daemons,
    sync: async (request: SyncRequest, signal: AbortSignal): Promise<SyncReply> => {
      checkDaemonInfo(request.from);
      const observations = checkObservations(request.observations);
      if (!request.isHub) daemons.receive(request.from, observations);
      table.recordHeardDirectly(request.heard);
      await quorumWaits.wait(request.quorumWaitMs);
      await waitForChanges(request, signal);
      // Late replies of a busy hub would only delay those that are still awaited.
      if (signal.aborted) throw new RelayError(ResultCode.cancelled, 'the daemon has left');
      return buildReply(request);
    },
    announce: async (
      { record: received, isRelayed }: { record: EndpointRecord; isRelayed: boolean },
      signal: AbortSignal,
    ): Promise<void> => {
      const record = checkRecord(received);
      if (isRelayed) table.merge(record);
      else table.announce(record);
      if (record.state === 'ready') return;
      await (isRelayed ? options.waitUntilDurable(signal) : relay(record));
    },
  };
}

/** Largest age in a message; also sent for an unknown age, as JSON has no Infinity. */
const maxAgeMs = 1e9;
