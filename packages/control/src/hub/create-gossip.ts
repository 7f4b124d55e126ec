import { withDeadline, type Clock, type DaemonId, type Hlc, type Random } from '@vanillarelay/core';
import type { createDaemonTable } from './create-daemon-table.js';
import type { createMemberTable } from './create-member-table.js';
import type { createUsageTable } from './create-usage-table.js';
import type { GossipMessage } from './gossip-message.js';
import type { GossipReply } from './gossip-reply.js';
import type { HubPeer } from './hub-peer.js';
import type { MemberRecord } from './member-record.js';

interface GossipOptions {
  id: DaemonId;
  epoch: string;
  clock: Clock;
  random: Random;
  hlc: Hlc;
  peers: readonly { id: DaemonId; peer: HubPeer }[];
  members: ReturnType<typeof createMemberTable>;
  daemons: ReturnType<typeof createDaemonTable>;
  usage: ReturnType<typeof createUsageTable>;
}

/** What a peer is known to have. */
interface PeerProgress {
  epoch: string;
  hears: readonly DaemonId[];
  /** Generation of the member table up to which it has the announcements. */
  generation: number;
  /** Reports received until then have reached it. */
  sentAt: number;
}

const gossipIntervalMs = 500;
const gossipTimeoutMs = 1_500;
/** A hub that was silent for longer counts as not heard. */
const hearLimitMs = 2_000;

/** Makes the exchange of soft state with the other hubs: one task for each of them. */
export function createGossip(options: GossipOptions) {
  const { id, epoch, clock, random, hlc, peers, members, daemons, usage } = options;
  const heardAt = new Map<DaemonId, number>();

  const listHeard = (): DaemonId[] =>
    [...heardAt].filter(([, at]) => clock.monotonic() - at <= hearLimitMs).map(([hub]) => hub);

  const buildMessage = (to: DaemonId, progress: PeerProgress): GossipMessage => {
    const now = clock.monotonic();
    const isNew = progress.epoch === '';
    /** What a third hub received is passed on only to a peer that does not hear it. */
    const isDue = (origin: DaemonId) =>
      isNew || origin === id || (origin !== to && !progress.hears.includes(origin));
    const isNews = (record: { learnedAt: number; origin: DaemonId }) =>
      isDue(record.origin) && (isNew || record.learnedAt > progress.sentAt);
    const records = [...members.listRecords()].filter(
      (record) =>
        isNews(record) || (isDue(record.origin) && record.changedIn > progress.generation),
    );
    /** Loads alone are enough only for members that the peer certainly has from this hub. */
    const isFull = ({ changedIn, origin, movedAt }: MemberRecord) =>
      changedIn > progress.generation || origin !== id || movedAt > progress.sentAt;
    return {
      from: id,
      epoch,
      hears: listHeard(),
      announcements: records.filter(isFull).map(({ announcement, origin, seenAt }) => ({
        announcement,
        origin,
        ageMs: now - seenAt,
      })),
      loads: records
        .filter((record) => !isFull(record))
        .map(({ announcement, origin, seenAt }) => ({
          id: announcement.id,
          incarnation: announcement.incarnation,
          sequence: announcement.sequence,
          running: announcement.running,
          origin,
          ageMs: now - seenAt,
        })),
      daemons: [...daemons.listRecords()]
        .filter(isNews)
        .map(({ row, origin, seenAt }) => ({ row, origin, ageMs: now - seenAt })),
      usage: [
        { hub: id, rates: usage.buildTotals(), ageMs: 0 },
        ...usage
          .listHubs()
          .filter(({ hub }) => isDue(hub))
          .map(({ hub, rates, seenAt }) => ({ hub, rates, ageMs: now - seenAt })),
      ],
      at: hlc.read(),
    };
  };

  const send = async (to: DaemonId, peer: HubPeer, last: PeerProgress): Promise<PeerProgress> => {
    const sentAt = clock.monotonic();
    const generation = members.readGeneration();
    const message = buildMessage(to, last);
    const reply = await withDeadline(clock, gossipTimeoutMs, (signal) =>
      peer.gossip(message, signal),
    );
    hlc.receive(reply.at);
    const isSameRun = reply.epoch === last.epoch || last.epoch === '';
    return isSameRun ? { ...reply, generation, sentAt } : createProgress();
  };

  const runPeer = async (to: DaemonId, peer: HubPeer, signal: AbortSignal): Promise<void> => {
    let progress = createProgress();
    while (!signal.aborted) {
      try {
        progress = await send(to, peer, progress);
      } catch {
        // What it did not acknowledge is sent again.
      }
      await clock.wait(gossipIntervalMs * (0.9 + random() / 5), signal);
    }
  };

  const receive = (message: GossipMessage): GossipReply => {
    const now = clock.monotonic();
    hlc.receive(message.at);
    heardAt.set(message.from, now);
    message.announcements.forEach(({ announcement, origin, ageMs }) =>
      members.receive(announcement, now - ageMs, origin, now),
    );
    message.loads.forEach(({ id: endpoint, origin, ageMs, ...load }) =>
      members.receiveLoad(endpoint, load, now - ageMs, origin, now),
    );
    message.daemons.forEach(({ row, origin, ageMs }) =>
      daemons.receive(row, now - ageMs, origin, now),
    );
    message.usage.forEach(({ hub, rates, ageMs }) => usage.receiveTotals(hub, rates, now - ageMs));
    return { epoch, hears: listHeard(), at: hlc.read() };
  };

  return {
    receive,
    start: (signal: AbortSignal): void =>
      peers.forEach(({ id: to, peer }) => {
        void runPeer(to, peer, signal);
      }),
  };
}

function createProgress(): PeerProgress {
  return { epoch: '', hears: [], generation: 0, sentAt: Number.NEGATIVE_INFINITY };
}
