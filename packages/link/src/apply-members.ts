import type { EndpointId, Frame, Member } from '@vanillarelay/core';

interface MemberTable {
  members: Map<EndpointId, Member>;
  /** Position of each member in the load vector of its service. */
  slots: Map<EndpointId, number>;
}

/** Applies the member changes of a frame, a hub's reply, to a table; returns whether it changed. */
export function applyMembers({ members, slots }: MemberTable, frame: Frame): boolean {
  frame.removed.forEach((id) => {
    members.delete(id);
    slots.delete(id);
  });
  frame.members.forEach(({ member, slot }) => {
    members.set(member.id, member);
    slots.set(member.id, slot);
  });
  return frame.members.length > 0 || frame.removed.length > 0;
}
