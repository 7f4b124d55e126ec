import { withTimeout } from '@vanillarelay/core';
import type { RaftContext } from '../raft-context.js';
import { raftTiming } from '../raft-timing.js';
import { updateGroup } from './update-group.js';

/**
 * Adds a node to the group as a learner, unless it is a member; resolves with its disk. The node
 * tells its disk itself, since what others know of it may be older. @internal
 */
export async function addNode(
  context: RaftContext,
  by: { id: string; address: string },
): Promise<string> {
  const diskId = await readDiskId(context, by.address);
  if (context.group?.members.some((member) => member.diskId === diskId)) return diskId;
  await updateGroup(context, (members) => [
    ...members.filter((member) => member.id !== by.id || member.role === 'voter'),
    { ...by, diskId, role: 'learner' },
  ]);
  return diskId;
}

async function readDiskId(context: RaftContext, address: string): Promise<string> {
  const client = context.openPeer(address);
  const sender = await withTimeout(context.clock, raftTiming.callTimeoutMs, (signal) =>
    client.readSender(signal),
  );
  return sender.diskId;
}
