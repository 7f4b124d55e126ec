import { withTimeout } from '@vanillarelay/core';
import type { AppendReply } from '../replication/append-reply.js';
import { buildSender } from '../disk/build-sender.js';
import type { PeerProgress } from '../replication/peer-progress.js';
import type { RaftContext } from '../raft-context.js';
import type { RaftPeer } from '../raft-peer.js';
import { raftTiming } from '../raft-timing.js';

const partBytes = 16 * 1024;

/** Sends the snapshot in parts; resolves with the reply to the last part. @internal */
export async function sendSnapshot(
  context: RaftContext,
  peer: PeerProgress,
  client: RaftPeer,
): Promise<AppendReply> {
  const { log, clock } = context;
  const index = log.readSnapshot()?.index;
  const file = await log.readSnapshotFile();
  if (!file || index === undefined) throw new Error('there is no snapshot to send');
  const { term } = log.readHardState();
  for (let offset = 0; ; offset += partBytes) {
    const request = {
      from: buildSender(context),
      toDisk: peer.member.diskId,
      term,
      index,
      offset,
      totalBytes: file.length,
      data: Buffer.from(file.subarray(offset, offset + partBytes)).toString('base64'),
    };
    const sentAt = clock.monotonic();
    const reply = await withTimeout(clock, raftTiming.snapshotCallTimeoutMs, (signal) =>
      client.installSnapshot(request, signal),
    );
    const isLast = offset + partBytes >= file.length;
    const isRefused = reply.isStale || reply.isOtherDisk || reply.term > term;
    if (isLast || isRefused || peer.controller.signal.aborted) return reply;
    if (reply.index !== offset + partBytes) throw new Error('a part of the snapshot was lost');
    peer.answeredAt = sentAt;
  }
}
