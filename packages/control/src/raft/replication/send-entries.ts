import { withTimeout } from '@vanillarelay/core';
import type { LogEntry } from '../../log/log-entry.js';
import type { AppendReply } from './append-reply.js';
import type { AppendRequest } from './append-request.js';
import { buildSender } from '../disk/build-sender.js';
import { computeStateAge } from '../age/compute-state-age.js';
import type { PeerProgress } from './peer-progress.js';
import type { RaftContext } from '../raft-context.js';
import type { RaftPeer } from '../raft-peer.js';
import { raftTiming } from '../raft-timing.js';

/** Sends the next entries to a member, or a heartbeat. @internal */
export function sendEntries(
  context: RaftContext,
  { member, nextIndex, partLength, maxLength, echo }: PeerProgress,
  client: RaftPeer,
): Promise<AppendReply> {
  const { log, clock, commitIndex, marks } = context;
  const request = {
    from: buildSender(context),
    toDisk: member.diskId,
    term: log.readHardState().term,
    previousIndex: nextIndex - 1,
    previousTerm: log.memory.findTerm(nextIndex - 1) ?? 0,
    ...selectEntries(log.memory.listFrom(nextIndex, maxLength), partLength, maxLength),
    commitIndex,
    quorumAgeMs: computeStateAge(context),
    ...(echo ? { echo } : {}),
    marks: Object.fromEntries(marks),
  };
  return withTimeout(clock, raftTiming.callTimeoutMs, (signal) =>
    client.appendEntries(request, signal),
  );
}

/** Chooses whole entries, or the next part of an entry that is too large for one message. */
function selectEntries(
  entries: LogEntry[],
  offset: number,
  maxLength: number,
): Pick<AppendRequest, 'entries' | 'part'> {
  const [first] = entries;
  if (!first || first.data.length <= maxLength) return { entries };
  const { data, ...head } = first;
  const part = {
    ...head,
    offset,
    totalLength: data.length,
    data: data.slice(offset, offset + maxLength),
  };
  return { entries: [], part };
}
