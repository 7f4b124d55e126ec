import type { EndpointId, Frame, Member } from '@vanillarelay/core';
import type { FleetView } from './fleet-view.js';

interface MemberTable {
  members: Map<EndpointId, Member>;
  slots: Map<EndpointId, number>;
}

/** Updates the member table by a frame and returns the new view; the state stays as it is. */
export function applyFrame(view: FleetView, table: MemberTable, frame: Frame): FleetView {
  const { members, slots } = table;
  if (frame.whole) {
    members.clear();
    slots.clear();
  }
  frame.removed.forEach((id) => {
    members.delete(id);
    slots.delete(id);
  });
  frame.members.forEach(({ member, slot }) => {
    members.set(member.id, member);
    slots.set(member.id, slot);
  });
  const isChanged = frame.whole || frame.members.length > 0 || frame.removed.length > 0;
  return {
    state: view.state,
    members: isChanged ? new Map(members) : view.members,
    loads: buildLoads(table, frame),
    means: frame.means,
    shares: frame.shares,
  };
}

function buildLoads({ members, slots }: MemberTable, frame: Frame): Map<EndpointId, number> {
  const vectors = new Map(
    Object.entries(frame.loads).map(([service, text]) => [service, Buffer.from(text, 'base64')]),
  );
  const loads = new Map<EndpointId, number>();
  members.forEach(({ service }, id) => {
    loads.set(id, vectors.get(service)?.[slots.get(id) ?? 0] ?? 0);
  });
  return loads;
}
