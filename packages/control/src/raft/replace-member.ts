import { RelayError, ResultCode, withTimeout } from '@vanillarelay/core';
import type { GroupMember } from './group-member.js';
import { checkRemainingQuorum } from './check-remaining-quorum.js';
import type { RaftContext } from './raft-context.js';
import { raftTiming } from './raft-timing.js';
import { updateGroup } from './update-group.js';

interface Replacement {
  /** The member that was lost. */
  id: string;
  /** The node that takes its place; it may have the same id and another disk. */
  by: { id: string; address: string };
}

const pollIntervalMs = 50;
const catchUpTimeoutMs = 60_000;

/**
 * Replaces a lost member: the new node first catches up as a learner, then the lost member is
 * removed, then the new node becomes a voter. Can be retried after a failure at any step. @internal
 */
export async function replaceMember(
  context: RaftContext,
  { id, by }: Replacement,
): Promise<GroupMember[]> {
  const diskId = await readDiskId(context, by.address);
  const findMember = () => readMembers(context).find((member) => member.diskId === diskId);
  if (!findMember()) {
    await updateGroup(context, (members) => [
      ...members.filter((member) => member.id !== by.id || member.role === 'voter'),
      { ...by, diskId, role: 'learner' },
    ]);
  }
  if (findMember()?.role === 'voter') return readMembers(context);
  await waitForCatchUp(context, diskId);
  const isLost = (member: GroupMember) => member.id === id && member.diskId !== diskId;
  if (readMembers(context).some(isLost)) {
    checkRemainingQuorum(context, isLost);
    await updateGroup(context, (members) => members.filter((member) => !isLost(member)));
  }
  await updateGroup(context, (members) =>
    members.map((member) => (member.diskId === diskId ? { ...member, role: 'voter' } : member)),
  );
  return readMembers(context);
}

async function readDiskId(context: RaftContext, address: string): Promise<string> {
  const client = context.openPeer(address);
  const sender = await withTimeout(context.clock, raftTiming.callTimeoutMs, (signal) =>
    client.readSender(signal),
  );
  return sender.diskId;
}

function readMembers({ group }: RaftContext): GroupMember[] {
  return group?.members ?? [];
}

async function waitForCatchUp(context: RaftContext, diskId: string): Promise<void> {
  const { clock } = context;
  const startedAt = clock.monotonic();
  while (clock.monotonic() - startedAt <= catchUpTimeoutMs) {
    if (context.role !== 'leader') {
      throw new RelayError(ResultCode.notLeader, 'the leader changed during the replacement', {
        ...(context.leader === undefined ? {} : { leader: context.leader }),
      });
    }
    if ((context.progress.get(diskId)?.matchIndex ?? 0) >= context.commitIndex) return;
    await clock.wait(pollIntervalMs);
  }
  throw new RelayError(ResultCode.timeout, 'the new node does not catch up');
}
