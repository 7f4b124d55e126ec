import type { RaftContext } from '../raft-context.js';
import type { MemberStatus } from './member-status.js';

/** Lists the members as this leader sees them; empty unless this node leads. @internal */
export function listMemberStatuses(context: RaftContext): MemberStatus[] {
  const { clock, commitIndex, group, log, progress, role } = context;
  if (role !== 'leader') return [];
  return (group?.members ?? []).map((member) => {
    if (member.diskId === log.identity.diskId) {
      return { ...member, silentMs: 0, observedMs: Infinity, isCaughtUp: true };
    }
    const peer = progress.get(member.diskId);
    const { answeredAt = -Infinity, observedSince = -Infinity, matchIndex = 0 } = peer ?? {};
    return {
      ...member,
      silentMs: clock.monotonic() - Math.max(answeredAt, observedSince),
      observedMs: clock.monotonic() - observedSince,
      isCaughtUp: matchIndex >= commitIndex,
    };
  });
}
