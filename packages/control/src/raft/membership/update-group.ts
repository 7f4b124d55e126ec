import { RelayError, ResultCode } from '@vanillarelay/core';
import type { Group } from './group.js';
import type { GroupMember } from './group-member.js';
import { isGroupSettled } from './is-group-settled.js';
import { updateGroupSize } from './update-group-size.js';
import { proposeEntry } from '../replication/propose-entry.js';
import type { RaftContext } from '../raft-context.js';
import { raftTiming } from '../raft-timing.js';

const pollIntervalMs = 50;

/** Proposes a changed membership once the previous one is committed. @internal */
export async function updateGroup(
  context: RaftContext,
  change: (members: GroupMember[]) => GroupMember[],
): Promise<void> {
  const startedAt = context.clock.monotonic();
  while (context.role === 'leader' && !isGroupSettled(context)) {
    if (context.clock.monotonic() - startedAt > raftTiming.proposalTimeoutMs) break;
    await context.clock.wait(pollIntervalMs);
  }
  if (context.role === 'leader' && !isGroupSettled(context)) {
    throw new RelayError(ResultCode.noQuorum, 'an earlier change of the group is not accepted', {
      notRun: true,
    });
  }
  const group = context.group ?? { members: [] };
  const members = change(group.members);
  const changed: Group = { members, size: updateGroupSize(group, members) };
  await proposeEntry(context, 'group', JSON.stringify(changed));
}
