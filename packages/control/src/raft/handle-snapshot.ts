import { decodeSnapshot } from '../log/decode-snapshot.js';
import type { AppendReply } from './append-reply.js';
import { applyCommitted } from './apply-committed.js';
import { buildReply } from './build-reply.js';
import { checkLeaderMessage } from './check-leader-message.js';
import { findGroup } from './find-group.js';
import type { RaftContext } from './raft-context.js';
import type { SnapshotRequest } from './snapshot-request.js';

/** Takes a part of the leader's snapshot; the last part installs it. @internal */
export async function handleSnapshot(
  context: RaftContext,
  request: SnapshotRequest,
): Promise<AppendReply> {
  const refusal = await checkLeaderMessage(context, request);
  if (refusal) return refusal;
  const { index, term, offset, totalBytes } = request;
  if (offset === 0) context.incoming = { index, term, parts: [], length: 0 };
  const { incoming } = context;
  if (incoming?.index === index && incoming.term === term && incoming.length === offset) {
    const part = Buffer.from(request.data, 'base64');
    incoming.parts.push(part);
    incoming.length += part.length;
  }
  const isWhole = incoming?.length === totalBytes;
  if (incoming && isWhole) {
    context.incoming = undefined;
    await installSnapshot(context, Buffer.concat(incoming.parts));
  }
  return {
    ...buildReply(context),
    isMatched: isWhole,
    index: isWhole ? index : (incoming?.length ?? 0),
    mark: context.clock.monotonic(),
  };
}

async function installSnapshot(context: RaftContext, file: Uint8Array): Promise<void> {
  const { log, machine, timeline } = context;
  const decoded = decodeSnapshot(file);
  if (!decoded) throw new Error('the snapshot is damaged');
  const { head: snapshot, parts } = decoded;
  if (snapshot.index <= context.commitIndex) return;
  if (context.isSnapshotBusy) throw new Error('another snapshot is being written');
  context.isSnapshotBusy = true;
  context.isInstalling = true;
  try {
    await log.install(snapshot, parts);
    machine.install(parts);
  } finally {
    context.isSnapshotBusy = false;
    context.isInstalling = false;
  }
  Object.assign(context, findGroup(log));
  context.commitIndex = snapshot.index;
  context.appliedIndex = snapshot.index;
  context.durableIndex = log.memory.readLast().index;
  context.lastAt = log.memory.list().at(-1)?.at ?? snapshot.at;
  timeline.record('raft.installed', { index: snapshot.index });
  applyCommitted(context);
}
