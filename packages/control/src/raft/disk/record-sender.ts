import { isOlderDisk } from './is-older-disk.js';
import type { RaftContext } from '../raft-context.js';
import type { Sender } from './sender.js';

/** Records the state of a sender; returns false when its disk is an older copy. @internal */
export function recordSender(context: RaftContext, sender: Sender): boolean {
  const watermark = context.marks.get(sender.diskId);
  if (isOlderDisk(watermark, sender)) {
    context.timeline.record('raft.olderDisk', { node: sender.id });
    return false;
  }
  context.clockOffsets.set(sender.diskId, sender.at - context.clock.now());
  const commitIndex = Math.max(watermark?.commitIndex ?? 0, sender.commitIndex);
  const { incarnation, startIndex, diskId } = sender;
  context.marks.set(diskId, { incarnation, startIndex, commitIndex });
  if (watermark?.incarnation !== incarnation) {
    const hardState = context.log.readHardState();
    const incarnations = { ...hardState.incarnations, [diskId]: incarnation };
    // The log writer reports disk failures.
    context.log.saveHardState({ ...hardState, incarnations }).catch(() => {});
  }
  return true;
}
