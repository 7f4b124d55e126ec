import type { LogEntry } from '../../log/log-entry.js';
import { addGroup } from '../membership/add-group.js';
import type { Group } from '../membership/group.js';
import type { AppendReply } from './append-reply.js';
import type { AppendRequest } from './append-request.js';
import { applyCommitted } from './apply-committed.js';
import { checkLeaderMessage } from './check-leader-message.js';
import { buildReply } from './build-reply.js';
import { findGroup } from '../membership/find-group.js';
import type { RaftContext } from '../raft-context.js';
import { receiveEntryPart } from './receive-entry-part.js';
import { removeSettledGroups } from '../membership/remove-settled-groups.js';

/** Handles entries or a heartbeat from the leader. @internal */
export async function handleAppend(
  context: RaftContext,
  request: AppendRequest,
): Promise<AppendReply> {
  const { log, clock } = context;
  const refusal = await checkLeaderMessage(context, request);
  if (refusal) return refusal;
  if (context.isInstallingSnapshot) throw new Error('a snapshot is being installed');
  const retryIndex = findRetryIndex(context, request);
  const entries = retryIndex === undefined ? listReceived(context, request) : request.entries;
  if (retryIndex === undefined) appendMissing(context, entries);
  const matched = request.previousIndex + entries.length;
  await log.sync();
  const isCurrent = log.readHardState().term === request.term;
  if (retryIndex === undefined && isCurrent) {
    if (log.memory.findTerm(matched) !== undefined) {
      context.durableIndex = Math.max(context.durableIndex, matched);
    }
    context.commitIndex = Math.max(context.commitIndex, Math.min(request.commitIndex, matched));
    removeSettledGroups(context);
    applyCommitted(context);
    updateQuorumSeenAt(context, request);
  }
  const { incomingEntry } = context;
  return {
    ...buildReply(context),
    isMatched: retryIndex === undefined && isCurrent,
    index: retryIndex ?? matched,
    ...(request.part && incomingEntry ? { partLength: incomingEntry.data.length } : {}),
    mark: clock.monotonic(),
  };
}

/** Index from which the leader must retry; undefined when the entries connect to this log. */
function findRetryIndex({ log }: RaftContext, request: AppendRequest): number | undefined {
  const { memory } = log;
  const { previousIndex, previousTerm } = request;
  const last = memory.readLast();
  if (previousIndex > last.index) return last.index + 1;
  const base = memory.readBase().index;
  const term = memory.findTerm(previousIndex);
  // Entries below the base are in a snapshot, so they are committed and equal to the leader's.
  if (previousIndex < base || term === previousTerm) return undefined;
  let index = previousIndex;
  while (index > base + 1 && memory.findTerm(index - 1) === term) index -= 1;
  return index;
}

/** Entries that this message completes. */
function listReceived(context: RaftContext, { entries, part }: AppendRequest): LogEntry[] {
  if (!part) return entries;
  const entry = receiveEntryPart(context, part);
  return entry ? [entry] : [];
}

/** Appends the entries that are new here; a conflicting entry truncates the log first. */
function appendMissing(context: RaftContext, entries: readonly LogEntry[]): void {
  const { log } = context;
  const base = log.memory.readBase().index;
  let isTruncated = false;
  entries.forEach((entry) => {
    if (entry.index <= base || log.memory.findTerm(entry.index) === entry.term) return;
    if (entry.index <= context.commitIndex) {
      throw new Error(`entry ${entry.index} is committed with another term`);
    }
    isTruncated ||= entry.index <= log.memory.readLast().index;
    context.durableIndex = Math.min(context.durableIndex, entry.index - 1);
    context.lastTimestamp = entry.at;
    log.append(entry).catch(() => {});
    if (entry.kind === 'group') {
      addGroup(context, { index: entry.index, group: JSON.parse(entry.data) as Group });
    }
  });
  if (isTruncated) Object.assign(context, findGroup(log, context.commitIndex));
}

/** Only a node that has applied what was committed has a state as new as its quorum contact. */
function updateQuorumSeenAt(
  context: RaftContext,
  { echo, quorumAgeMs, commitIndex }: AppendRequest,
): void {
  if (!echo || echo.incarnation !== context.log.identity.incarnation) return;
  if (context.appliedIndex < commitIndex) return;
  // The leader sent this message after it received the echoed reply, so a quorum was alive at
  // `echo.mark - quorumAgeMs` or later.
  context.quorumSeenAt = Math.max(context.quorumSeenAt, echo.mark - quorumAgeMs);
}
