import { computeLoadBound, type EndpointId, type Member, type ServiceId } from '@vanillarelay/core';
import type { FleetView } from '@vanillarelay/link';
import type { Candidates } from './candidates.js';

const noCandidates: Candidates = { ids: [], members: new Map(), bound: 1, coldLimit: 1 };

/** Creates the lists of candidates by service; they are rebuilt when the fleet view changes. */
export function createCandidateLists() {
  let listedView: FleetView | undefined;
  let lists = new Map<ServiceId, Candidates>();

  const read = (view: FleetView, service: ServiceId): Candidates => {
    if (view !== listedView) {
      lists = buildLists(view);
      listedView = view;
    }
    return lists.get(service) ?? noCandidates;
  };

  return { read };
}

function buildLists({ state, members, means }: FleetView): Map<ServiceId, Candidates> {
  const draining = new Set(state?.draining);
  const dataCentresOut = new Set(state?.dataCentresOut);
  const byService = new Map<ServiceId, Map<EndpointId, Member>>();
  members.forEach((member) => {
    if (member.status === 'leaving' || member.damped) return;
    if (draining.has(member.id) || dataCentresOut.has(member.dataCentre)) return;
    const list = byService.get(member.service) ?? new Map<EndpointId, Member>();
    list.set(member.id, member);
    byService.set(member.service, list);
  });
  const lists = new Map<ServiceId, Candidates>();
  byService.forEach((list, service) =>
    lists.set(service, {
      ids: [...list.keys()].sort(),
      members: list,
      bound: computeLoadBound(
        state?.config.services[service]?.loadMultiple ?? 1,
        means[service] ?? 0,
      ),
      coldLimit: state?.config.services[service]?.coldLimit ?? 1,
    }),
  );
  return lists;
}
