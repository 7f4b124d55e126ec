import { findGroup } from './membership/find-group.js';
import type { RaftContext } from './raft-context.js';
import type { RaftOptions } from './raft-options.js';
import { replaceLostDisk } from './membership/replace-lost-disk.js';

/** Creates the shared state of a node from its log. @internal */
export function createRaftContext(options: RaftOptions): RaftContext {
  const { log, machine, clock } = options;
  const snapshot = log.readSnapshot();
  if (snapshot) machine.install(log.takeSnapshotParts());
  const last = log.memory.readLast();
  const { incarnations } = log.readHardState();
  const context: RaftContext = {
    ...options,
    ...findGroup(log, snapshot?.index ?? 0),
    role: 'follower',
    leader: undefined,
    leaderDiskId: undefined,
    commitIndex: snapshot?.index ?? 0,
    appliedIndex: snapshot?.index ?? 0,
    lastTimestamp: log.memory.list().at(-1)?.at ?? snapshot?.at ?? 0,
    electionTimerStartedAt: clock.monotonic(),
    leaderContactAt: Number.NEGATIVE_INFINITY,
    quorumSeenAt: Number.NEGATIVE_INFINITY,
    marks: new Map(
      Object.entries(incarnations).map(([diskId, incarnation]) => [
        diskId,
        { incarnation, commitIndex: 0 },
      ]),
    ),
    clockOffsets: new Map(),
    progress: new Map(),
    pending: new Map(),
    durableIndex: last.index,
    startIndex: last.index,
    termStartIndex: Number.POSITIVE_INFINITY,
    incomingEntry: undefined,
    incomingSnapshot: undefined,
    isWritingSnapshot: false,
    isInstallingSnapshot: false,
    office: new AbortController(),
    notifyOtherDisk: (member, sender) => replaceLostDisk(context, member, sender),
    failure: undefined,
  };
  return context;
}
