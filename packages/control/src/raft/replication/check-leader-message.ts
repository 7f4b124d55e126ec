import type { AppendReply } from './append-reply.js';
import type { AppendRequest } from './append-request.js';
import { buildReply } from './build-reply.js';
import { buildSender } from '../disk/build-sender.js';
import { checkRunning } from '../check-running.js';
import type { DiskWatermark } from '../disk/disk-watermark.js';
import { isOlderDisk } from '../disk/is-older-disk.js';
import type { RaftContext } from '../raft-context.js';
import { recordSender } from '../disk/record-sender.js';
import { stopStaleNode } from '../disk/stop-stale-node.js';
import { updateTerm } from '../election/update-term.js';

type LeaderMessage = Pick<AppendRequest, 'from' | 'toDisk' | 'term'> &
  Partial<Pick<AppendRequest, 'marks'>>;

/**
 * Refuses a message that is not from the current leader or not meant for this disk; otherwise
 * follows its sender as leader. @internal
 */
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
  if (!recordSender(context, from)) return refuse({ isStale: true });
  if (isOlderDisk(marks[toDisk], buildSender(context))) {
    stopStaleNode(context);
    return refuse();
  }
  if (term < log.readHardState().term) return refuse();
  updateTerm(context, term);
  if (context.role === 'candidate') context.role = 'follower';
  context.leader = from.id;
  context.leaderDiskId = from.diskId;
  context.electionTimerStartedAt = clock.monotonic();
  context.leaderContactAt = context.electionTimerStartedAt;
  Object.entries(marks).forEach(([diskId, watermark]) =>
    mergeWatermark(context, diskId, watermark),
  );
  return undefined;
}

function mergeWatermark(
  { marks, log }: RaftContext,
  diskId: string,
  watermark: DiskWatermark,
): void {
  if (diskId === log.identity.diskId) return;
  const known = marks.get(diskId);
  if (known && known.incarnation > watermark.incarnation) return;
  const commitIndex = Math.max(known?.commitIndex ?? 0, watermark.commitIndex);
  marks.set(diskId, { ...watermark, commitIndex });
}
