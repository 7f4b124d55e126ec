import type { AppendReply } from './append-reply.js';
import { batchLength } from './batch-length.js';
import type { PeerProgress } from './peer-progress.js';
import type { RaftContext } from '../raft-context.js';
import type { RaftPeer } from '../raft-peer.js';
import { raftTiming } from '../raft-timing.js';
import { recordSender } from '../disk/record-sender.js';
import { sendEntries } from './send-entries.js';
import { sendSnapshot } from '../snapshot/send-snapshot.js';
import { stopStaleNode } from '../disk/stop-stale-node.js';
import { updateCommitIndex } from './update-commit-index.js';
import { updateTerm } from '../election/update-term.js';

/** The leader's task for one member: sends one message at a time until aborted. @internal */
export async function runReplication(context: RaftContext, peer: PeerProgress): Promise<void> {
  const client = context.openPeer(peer.member.address);
  const { signal } = peer.controller;
  while (!signal.aborted) {
    const { nextIndex, partLength } = peer;
    const hasEntries = nextIndex <= context.log.memory.readLast().index;
    try {
      await sendMessage(context, peer, client);
      peer.maxLength = Math.min(batchLength.max, peer.maxLength + batchLength.min);
    } catch {
      peer.maxLength = Math.max(batchLength.min, peer.maxLength / 2);
      if (!signal.aborted) await context.clock.wait(raftTiming.retryDelayMs, signal);
      continue;
    }
    if (signal.aborted) return;
    const hasProgress = peer.nextIndex !== nextIndex || peer.partLength > partLength;
    if (hasEntries && !hasProgress) {
      // The member did not accept the entries; resending them at once would only add load.
      await context.clock.wait(raftTiming.retryDelayMs, signal);
    } else if (!hasWork(context, peer)) await waitForWork(context, peer);
  }
}

async function sendMessage(
  context: RaftContext,
  peer: PeerProgress,
  client: RaftPeer,
): Promise<void> {
  peer.isSendRequested = false;
  const sentAt = context.clock.monotonic();
  const { commitIndex } = context;
  const { echo } = peer;
  const isInMemory = context.log.memory.findTerm(peer.nextIndex - 1) !== undefined;
  const send = isInMemory ? sendEntries : sendSnapshot;
  const reply = await send(context, peer, client);
  if (peer.controller.signal.aborted) return;
  if (handleReply(context, peer, reply)) {
    peer.answeredAt = sentAt;
    peer.acknowledgedCommitIndex = commitIndex;
    // A member that has started since learns only from the next message that a quorum is alive.
    if (peer.echo?.incarnation !== echo?.incarnation) peer.isSendRequested = true;
    updateCommitIndex(context);
  }
}

/** Handles a reply; returns whether the sender accepts this node as leader. */
function handleReply(context: RaftContext, peer: PeerProgress, reply: AppendReply): boolean {
  if (reply.isStale) {
    stopStaleNode(context);
    return false;
  }
  if (reply.isOtherDisk || reply.from.diskId !== peer.member.diskId) {
    context.notifyOtherDisk(peer.member, reply.from);
    throw new Error(`${peer.member.id} runs on another disk`);
  }
  if (!recordSender(context, reply.from)) throw new Error(`${peer.member.id} has a stale disk`);
  if (reply.term > context.log.readHardState().term) {
    updateTerm(context, reply.term);
    return false;
  }
  const { nextIndex } = peer;
  peer.echo = { incarnation: reply.from.incarnation, mark: reply.mark };
  if (reply.isMatched) {
    peer.matchIndex = Math.max(peer.matchIndex, reply.index);
    peer.nextIndex = Math.max(peer.nextIndex, reply.index + 1);
  } else {
    peer.nextIndex = Math.max(1, peer.matchIndex + 1, Math.min(peer.nextIndex - 1, reply.index));
  }
  peer.partLength = peer.nextIndex === nextIndex ? (reply.partLength ?? 0) : 0;
  return true;
}

function hasWork({ log, commitIndex }: RaftContext, peer: PeerProgress): boolean {
  return (
    peer.isSendRequested ||
    peer.nextIndex <= log.memory.readLast().index ||
    peer.acknowledgedCommitIndex < commitIndex
  );
}

async function waitForWork({ clock }: RaftContext, peer: PeerProgress): Promise<void> {
  const wakeController = new AbortController();
  const wake = () => wakeController.abort();
  peer.wake = wake;
  peer.controller.signal.addEventListener('abort', wake, { once: true });
  await clock.wait(raftTiming.heartbeatMs, wakeController.signal);
  peer.controller.signal.removeEventListener('abort', wake);
}
