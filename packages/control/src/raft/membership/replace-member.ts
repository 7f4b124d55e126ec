import { RelayError, ResultCode } from '@vanillarelay/core';
import type { GroupMember } from './group-member.js';
import { addNode } from './add-node.js';
import { promoteLearner } from './promote-learner.js';
import type { RaftContext } from '../raft-context.js';

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
  const diskId = await addNode(context, by);
  const added = readMembers(context).find((member) => member.diskId === diskId);
  if (added?.role === 'voter') return readMembers(context);
  await waitForCatchUp(context, diskId);
  await promoteLearner(context, diskId, (member) => member.id === id && member.diskId !== diskId);
  return readMembers(context);
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
