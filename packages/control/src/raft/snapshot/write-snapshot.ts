import type { RaftContext } from '../raft-context.js';

/** Log size above which a snapshot is taken. */
const defaultSnapshotBytes = 4 * 1024 * 1024;

/**
 * Takes a snapshot when the log has grown by more than the size of the last snapshot, so that the
 * cost of snapshots stays in proportion to that of the log. @internal
 */
export async function writeSnapshot(context: RaftContext): Promise<void> {
  const { log, machine, appliedIndex, snapshotBytes = defaultSnapshotBytes } = context;
  const limit = Math.max(snapshotBytes, log.countSnapshotBytes());
  if (context.isWritingSnapshot || context.role === 'stopped' || log.countLogBytes() <= limit)
    return;
  const entries = log.memory.list();
  const last = entries[appliedIndex - log.memory.readBase().index - 1];
  if (!last || appliedIndex <= (log.readSnapshot()?.index ?? 0)) return;
  const group = findGroupAt(context, appliedIndex);
  if (!group) return;
  context.isWritingSnapshot = true;
  try {
    const { index, term, at } = last;
    await log.compact({ index, term, at, group }, machine.encode());
    context.timeline.record('raft.snapshot', { index });
  } finally {
    context.isWritingSnapshot = false;
  }
}

/** The membership as of an applied index. */
function findGroupAt({ log, group, groupIndex }: RaftContext, index: number) {
  if (groupIndex <= index) return group;
  const entry = log.memory.list().findLast((item) => item.kind === 'group' && item.index <= index);
  return entry ? (JSON.parse(entry.data) as typeof group) : log.readSnapshot()?.group;
}
