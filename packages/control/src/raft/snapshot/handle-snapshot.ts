import { decodeSnapshot } from '../../log/decode-snapshot.js';
import type { AppendReply } from '../replication/append-reply.js';
import { applyCommitted } from '../replication/apply-committed.js';
import { buildReply } from '../replication/build-reply.js';
import { checkLeaderMessage } from '../replication/check-leader-message.js';
import { findGroup } from '../membership/find-group.js';
import type { RaftContext } from '../raft-context.js';
import type { SnapshotRequest } from './snapshot-request.js';

/** Receives a part of the leader's snapshot; the last part installs it. @internal */
export async function handleSnapshot(
  context: RaftContext,
  request: SnapshotRequest,
): Promise<AppendReply> {
  const refusal = await checkLeaderMessage(context, request);
  if (refusal) return refusal;
  const { index, term, offset, totalBytes } = request;
  if (offset === 0) context.incomingSnapshot = { index, term, parts: [], length: 0 };
  const { incomingSnapshot } = context;
  if (
    incomingSnapshot?.index === index &&
    incomingSnapshot.term === term &&
    incomingSnapshot.length === offset
  ) {
    const part = Buffer.from(request.data, 'base64');
    incomingSnapshot.parts.push(part);
    incomingSnapshot.length += part.length;
  }
  const isComplete = incomingSnapshot?.length === totalBytes;
  if (incomingSnapshot && isComplete) {
    context.incomingSnapshot = undefined;
    await installSnapshot(context, Buffer.concat(incomingSnapshot.parts));
  }
  return {
    ...buildReply(context),
    isMatched: isComplete,
    index: isComplete ? index : (incomingSnapshot?.length ?? 0),
    mark: context.clock.monotonic(),
  };
}

async function installSnapshot(context: RaftContext, file: Uint8Array): Promise<void> {
  const { log, machine, timeline } = context;
  const decoded = decodeSnapshot(file);
  if (!decoded) throw new Error('the snapshot is damaged');
  const { head: snapshot, parts } = decoded;
  if (snapshot.index <= context.commitIndex) return;
  if (context.isWritingSnapshot) throw new Error('another snapshot is being written');
  context.isWritingSnapshot = true;
  context.isInstallingSnapshot = true;
  try {
    await log.install(snapshot, parts);
    machine.install(parts);
  } finally {
    context.isWritingSnapshot = false;
    context.isInstallingSnapshot = false;
  }
  context.commitIndex = snapshot.index;
  Object.assign(context, findGroup(log, context.commitIndex));
  context.appliedIndex = snapshot.index;
  context.durableIndex = log.memory.readLast().index;
  context.lastTimestamp = log.memory.list().at(-1)?.at ?? snapshot.at;
  timeline.record('raft.installed', { index: snapshot.index });
  applyCommitted(context);
}
