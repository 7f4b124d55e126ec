import { batchLength } from './batch-length.js';
import type { GroupMember } from '../membership/group-member.js';
import { listPossibleGroups } from '../membership/list-possible-groups.js';
import { listPossibleVoters } from '../membership/list-possible-voters.js';
import type { RaftContext } from '../raft-context.js';
import { runReplication } from './run-replication.js';

/** Starts the replication to each new member and ends that to removed ones. @internal */
export function updatePeers(context: RaftContext): void {
  const { progress, log, office, clock } = context;
  const members = listReceivers(context).filter(({ diskId }) => diskId !== log.identity.diskId);
  progress.forEach((peer, diskId) => {
    if (members.some((member) => member.diskId === diskId)) return;
    peer.controller.abort();
    progress.delete(diskId);
  });
  members.forEach((member) => {
    const running = progress.get(member.diskId);
    if (running) {
      running.member = member;
      return;
    }
    const controller = new AbortController();
    office.signal.addEventListener('abort', () => controller.abort(), { once: true });
    const peer = {
      member,
      nextIndex: log.memory.readLast().index + 1,
      matchIndex: 0,
      answeredAt: Number.NEGATIVE_INFINITY,
      observedSince: clock.monotonic(),
      acknowledgedCommitIndex: 0,
      maxLength: batchLength.max,
      partLength: 0,
      isSendRequested: true,
      controller,
      wake: () => {},
    };
    progress.set(member.diskId, peer);
    void runReplication(context, peer);
  });
}

/** The members, and the voters that are being removed: these count until their removal is committed. */
function listReceivers(context: RaftContext): GroupMember[] {
  const members = context.group?.members ?? [];
  const isMember = ({ diskId }: GroupMember) => members.some((member) => member.diskId === diskId);
  const removed = listPossibleVoters(listPossibleGroups(context)).filter(
    (voter) => !isMember(voter),
  );
  return [...members, ...removed];
}
