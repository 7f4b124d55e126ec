import type { DataCentreId, EndpointId, Member, Random } from '@vanillarelay/core';

interface PeerSelection {
  members: Iterable<Member>;
  /** Endpoint of the daemon that sends the probe, when it is an agent. */
  self: EndpointId | undefined;
  random: Random;
}

/**
 * Number of agents per data centre; with only one, a lost VM would make its data centre seem
 * silent.
 */
const peersPerDataCentre = 3;

/** Selects random agents of every data centre, to be asked for their contact. */
export function selectPeers({ members, self, random }: PeerSelection): Member[] {
  const groups = new Map<DataCentreId, Member[]>();
  [...members].forEach((member) => {
    if (member.id === self) return;
    groups.set(member.dataCentre, [...(groups.get(member.dataCentre) ?? []), member]);
  });
  return [...groups.values()].flatMap((group) =>
    group
      .map((member) => ({ member, weight: random() }))
      .sort((a, b) => a.weight - b.weight)
      .slice(0, peersPerDataCentre)
      .map(({ member }) => member),
  );
}
