import { withTimeout, type Clock, type DaemonId, type Hlc, type Random } from '@vanillarelay/core';
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

/** What a peer has confirmed in its replies. */
interface GossipProgress {
  /** Epoch of the peer; empty before its first reply. */
  epoch: string;
  /** Hubs that the peer hears from. */
  hears: readonly DaemonId[];
  /** Generation of the member table up to which the peer has the announcements. */
  generation: number;
  /** Monotonic time up to which the reports received by this hub have reached the peer. */
  sentAt: number;
}

const gossipIntervalMs = 500;
const gossipTimeoutMs = 1_500;
/** A hub that was silent for longer is not listed in `hears`. */
const hubTimeoutMs = 2_000;

/** Creates the gossip of soft state between the hubs; `start` begins one task for each peer. */
export function createGossip(options: GossipOptions) {
  const { id, epoch, clock, random, hlc, peers, members, daemons, usage } = options;
  const lastMessageAt = new Map<DaemonId, number>();

  const listActiveHubs = (): DaemonId[] =>
    [...lastMessageAt]
      .filter(([, at]) => clock.monotonic() - at <= hubTimeoutMs)
      .map(([hub]) => hub);

  const buildMessage = (to: DaemonId, progress: GossipProgress): GossipMessage => {
    const now = clock.monotonic();
    const isNewPeer = progress.epoch === '';
    /** Reports received by a third hub are included only for a peer that does not hear from it. */
    const isIncluded = (origin: DaemonId) =>
      isNewPeer || origin === id || (origin !== to && !progress.hears.includes(origin));
    const isUnsent = (record: { learnedAt: number; origin: DaemonId }) =>
      isIncluded(record.origin) && (isNewPeer || record.learnedAt > progress.sentAt);
    const records = [...members.listRecords()].filter(
      (record) =>
        isUnsent(record) || (isIncluded(record.origin) && record.changedIn > progress.generation),
    );
    /** Otherwise the load suffices, because the peer has the announcement from this hub. */
    const isAnnouncementNeeded = ({ changedIn, origin, movedAt }: MemberRecord) =>
      changedIn > progress.generation || origin !== id || movedAt > progress.sentAt;
    return {
      from: id,
      epoch,
      hears: listActiveHubs(),
      announcements: records
        .filter(isAnnouncementNeeded)
        .map(({ announcement, origin, seenAt }) => ({
          announcement,
          origin,
          ageMs: now - seenAt,
        })),
      loads: records
        .filter((record) => !isAnnouncementNeeded(record))
        .map(({ announcement, origin, seenAt }) => ({
          id: announcement.id,
          incarnation: announcement.incarnation,
          sequence: announcement.sequence,
          running: announcement.running,
          origin,
          ageMs: now - seenAt,
        })),
      daemons: [...daemons.listRecords()]
        .filter(isUnsent)
        .map(({ row, origin, seenAt }) => ({ row, origin, ageMs: now - seenAt })),
      usage: [
        { hub: id, rates: usage.buildTotals(), ageMs: 0 },
        ...usage
          .listHubs()
          .filter(({ hub }) => isIncluded(hub))
          .map(({ hub, rates, seenAt }) => ({ hub, rates, ageMs: now - seenAt })),
      ],
      at: hlc.read(),
    };
  };

  const send = async (
    to: DaemonId,
    peer: HubPeer,
    last: GossipProgress,
  ): Promise<GossipProgress> => {
    const sentAt = clock.monotonic();
    const generation = members.readGeneration();
    const message = buildMessage(to, last);
    const reply = await withTimeout(clock, gossipTimeoutMs, (signal) =>
      peer.gossip(message, signal),
    );
    hlc.receive(reply.at);
    const isSameEpoch = reply.epoch === last.epoch || last.epoch === '';
    return isSameEpoch ? { ...reply, generation, sentAt } : createProgress();
  };

  const runGossip = async (to: DaemonId, peer: HubPeer, signal: AbortSignal): Promise<void> => {
    let progress = createProgress();
    while (!signal.aborted) {
      try {
        progress = await send(to, peer, progress);
      } catch {
        // Anything that the peer did not acknowledge is sent again.
      }
      await clock.wait(gossipIntervalMs * (0.9 + random() / 5), signal);
    }
  };

  const receive = (message: GossipMessage): GossipReply => {
    const now = clock.monotonic();
    hlc.receive(message.at);
    lastMessageAt.set(message.from, now);
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
    return { epoch, hears: listActiveHubs(), at: hlc.read() };
  };

  return {
    receive,
    start: (signal: AbortSignal): void =>
      peers.forEach(({ id: to, peer }) => {
        void runGossip(to, peer, signal);
      }),
  };
}

function createProgress(): GossipProgress {
  return { epoch: '', hears: [], generation: 0, sentAt: Number.NEGATIVE_INFINITY };
}
