import type { EndpointId, Frame, Member } from '@vanillarelay/core';
import type { FleetView } from './fleet-view.js';

interface MemberTable {
  members: Map<EndpointId, Member>;
  slots: Map<EndpointId, number>;
}

/** Updates the member table by a frame and returns the new view. A state is never replaced by an older one. */
export function applyFrame(view: FleetView, table: MemberTable, frame: Frame): FleetView {
  if (frame.whole) {
    table.members.clear();
    table.slots.clear();
  }
  frame.members.forEach(({ member, slot }) => {
    table.members.set(member.id, member);
    table.slots.set(member.id, slot);
  });
  frame.removed.forEach((id) => {
    table.members.delete(id);
    table.slots.delete(id);
  });
  const bytes = Buffer.from(frame.loads, 'base64');
  const loads = new Map<EndpointId, number>();
  table.slots.forEach((slot, id) => loads.set(id, bytes[slot] ?? 0));
  const isNewer = frame.state && frame.state.version > (view.state?.version ?? -1);
  return {
    state: isNewer ? frame.state : view.state,
    members: new Map(table.members),
    loads,
    means: frame.means,
    shares: frame.shares,
  };
}
