import { batchLength } from './batch-length.js';
import type { RaftContext } from '../raft-context.js';
import { runReplication } from './run-replication.js';

/** Starts the replication to each new member and ends that to removed members. @internal */
export function updatePeers(context: RaftContext): void {
  const { group, progress, log, office, clock } = context;
  const members = group?.members.filter(({ diskId }) => diskId !== log.identity.diskId) ?? [];
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
