import { RelayError, ResultCode } from '@vanillarelay/core';
import type { GroupMember } from './group-member.js';
import { hasRemainingQuorum } from './has-remaining-quorum.js';
import type { RaftContext } from '../raft-context.js';

/** Throws when removing a lost member would leave the others without a live quorum. @internal */
export function checkRemainingQuorum(
  context: RaftContext,
  isLost: (member: GroupMember) => boolean,
): void {
  const { log, group } = context;
  const isSelfLost = group?.members.some(
    (member) => isLost(member) && member.diskId === log.identity.diskId,
  );
  if (isSelfLost || !hasRemainingQuorum(context, isLost)) {
    throw new RelayError(ResultCode.noQuorum, 'the other members are not a live quorum', {
      notRun: true,
    });
  }
}
