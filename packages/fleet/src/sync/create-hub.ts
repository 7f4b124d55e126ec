import {
  RelayError,
  ResultCode,
  withDeadline,
  type Clock,
  type EventDetails,
} from '@vanillarelay/core';
import type { EndpointRecord, EndpointTable } from '@vanillarelay/routing';
import type { FleetPeer } from '../messages/fleet-peer.js';
import type { SyncReply } from '../messages/sync-reply.js';
import type { SyncRequest } from '../messages/sync-request.js';
import type { Voter } from '../voter/voter.js';
import { createDaemonTable } from './create-daemon-table.js';

interface HubOptions {
  clock: Clock;
  incarnation: string;
  address: string;
  table: EndpointTable;
  voter: Voter | undefined;
  openPeer: (address: string) => FleetPeer;
  record: (name: string, details?: EventDetails) => void;
}

const pollMs = 100;
const relayTimeoutMs = 400;

/** Makes the hub of a daemon with a disk: it answers the exchanges of the daemons around it. */
export function createHub(options: HubOptions) {
  const { clock, incarnation, address, table, voter, openPeer, record: recordEvent } = options;
  const daemons = createDaemonTable(clock);
  const waiting = new Set<() => void>();

  const wake = (): void => {
    waiting.forEach((release) => release());
    waiting.clear();
  };
  table.observe(wake);

  const listHubs = (): string[] => voter?.readMembers().map((member) => member.address) ?? [];

  const hasNews = ({ stateIndex, cursor, hubIncarnation }: SyncRequest): boolean =>
    hubIncarnation !== incarnation ||
    table.readLastChange() > cursor ||
    (voter?.readState().index ?? 0) > stateIndex;

  const waitForNews = async (request: SyncRequest, signal: AbortSignal): Promise<void> => {
    const until = clock.monotonic() + request.waitMs;
    while (!hasNews(request) && clock.monotonic() < until && !signal.aborted) {
      const woken = new AbortController();
      const release = () => woken.abort();
      waiting.add(release);
      await clock.wait(Math.min(pollMs, until - clock.monotonic()), woken.signal);
      waiting.delete(release);
    }
  };

  const buildReply = (request: SyncRequest): SyncReply => {
    const { from, isHub, stateIndex, daemonsVersion } = request;
    const isKnown = request.hubIncarnation === incarnation;
    const state = voter?.readState();
    const leader = voter?.findLeader();
    const version = daemons.readVersion();
    const list = isHub ? daemons.listDirect() : daemons.listAll();
    return {
      hubIncarnation: incarnation,
      cursor: table.readLastChange(),
      records: table.listChanges(isKnown ? request.cursor : 0),
      // A daemon learns of silence by the records.
      heard: isHub ? table.listHeard(isKnown ? request.heardCursor : 0) : [],
      heardCursor: table.readLastMark(),
      ...(state && state.index > stateIndex ? { state } : {}),
      quorumAgeMs: Math.round(Math.min(voter?.readQuorumAgeMs() ?? Infinity, maxAgeMs)),
      ...(leader === undefined ? {} : { leader }),
      hubs: listHubs(),
      daemonsVersion: version,
      ...(isKnown && daemonsVersion === version ? {} : { daemons: list }),
      observations: isHub ? daemons.sumDirect() : daemons.sumWithout(from.id),
    };
  };

  const relay = async (record: EndpointRecord): Promise<void> => {
    const hubs = listHubs();
    const others = hubs.filter((hub) => hub !== address);
    const needed = Math.floor(hubs.length / 2) + 1 - (others.length < hubs.length ? 1 : 0);
    let known = 0;
    await new Promise<void>((resolve, reject) => {
      let open = others.length;
      const settle = () => {
        if (known >= needed) resolve();
        else if (open === 0) {
          reject(new RelayError(ResultCode.noQuorum, 'too few hubs know the endpoint'));
        }
      };
      settle();
      others.forEach(async (hub) => {
        try {
          await withDeadline(clock, relayTimeoutMs, (signal) =>
            openPeer(hub).announce({ record, isRelayed: true }, signal),
          );
          known += 1;
        } catch (error) {
          recordEvent('fleet.relayFailed', {
            ...{ hub, endpoint: record.id },
            reason: (error as Error).message,
          });
        }
        open -= 1;
        settle();
      });
    });
  };

  return {
    wake,
    daemons,
    sync: async (request: SyncRequest, signal: AbortSignal): Promise<SyncReply> => {
      if (!request.isHub) daemons.receive(request.from, request.observations);
      table.markHeard(request.heard);
      await waitForNews(request, signal);
      return buildReply(request);
    },
    announce: async ({ record, isRelayed }: { record: EndpointRecord; isRelayed: boolean }) => {
      if (isRelayed) table.merge(record);
      else table.announce(record);
      if (!isRelayed && record.state !== 'ready') await relay(record);
    },
  };
}

/** Stands for an unknown age in messages, which hold no infinite numbers. */
const maxAgeMs = 1e9;
