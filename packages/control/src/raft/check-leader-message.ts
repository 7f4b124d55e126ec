import type { AppendReply } from './append-reply.js';
import type { AppendRequest } from './append-request.js';
import { buildReply } from './build-reply.js';
import { buildSender } from './build-sender.js';
import { checkRunning } from './check-running.js';
import type { DiskMark } from './disk-mark.js';
import { isOlderDisk } from './is-older-disk.js';
import type { RaftContext } from './raft-context.js';
import { receiveSender } from './receive-sender.js';
import { stopStaleNode } from './stop-stale-node.js';
import { updateTerm } from './update-term.js';

type LeaderMessage = Pick<AppendRequest, 'from' | 'toDisk' | 'term'> &
  Partial<Pick<AppendRequest, 'marks'>>;

/** Refuses a message that is not from the current leader to this disk; else follows it. @internal */
export async function checkLeaderMessage(
  context: RaftContext,
  { from, toDisk, term, marks = {} }: LeaderMessage,
): Promise<AppendReply | undefined> {
  checkRunning(context);
  const { log, clock } = context;
  const refuse = async (flags: { isStale?: boolean; isOtherDisk?: boolean } = {}) => {
    await log.sync();
    return {
      ...buildReply(context),
      isMatched: false,
      index: 1,
      mark: clock.monotonic(),
      ...flags,
    };
  };
  if (toDisk !== log.identity.diskId) return refuse({ isOtherDisk: true });
  if (!receiveSender(context, from)) return refuse({ isStale: true });
  if (isOlderDisk(marks[toDisk], buildSender(context))) {
    stopStaleNode(context);
    return refuse();
  }
  if (term < log.readHardState().term) return refuse();
  updateTerm(context, term);
  if (context.role === 'candidate') context.role = 'follower';
  context.leader = from.id;
  context.heardAt = clock.monotonic();
  context.leaderHeardAt = context.heardAt;
  Object.entries(marks).forEach(([diskId, mark]) => mergeMark(context, diskId, mark));
  return undefined;
}

function mergeMark({ marks, log }: RaftContext, diskId: string, mark: DiskMark): void {
  if (diskId === log.identity.diskId) return;
  const known = marks.get(diskId);
  if (known && known.incarnation > mark.incarnation) return;
  const commitIndex = Math.max(known?.commitIndex ?? 0, mark.commitIndex);
  marks.set(diskId, { ...mark, commitIndex });
}
