import { sortByRendezvous, type EndpointId } from '@vanillarelay/core';
import type { Policy } from './policy.js';

type PlacementStrategy = NonNullable<ReturnType<Policy['createStrategy']>>;
type Input = Parameters<PlacementStrategy>[0];

/** Load multiple with which agents never refuse because of load; 100 is the highest allowed. */
const unboundedMultiple = 100;

const buildPlacement = (input: Input, id: EndpointId | undefined) => {
  const member = id === undefined ? undefined : input.candidates.members.get(id);
  return member && { member, takeOver: true };
};

const placeRandomly: PlacementStrategy = (input) => {
  const ids = input.candidates.ids.filter((id) => !input.tried.has(id));
  return buildPlacement(input, ids[Math.floor(input.random() * ids.length)]);
};

const placeByRendezvous: PlacementStrategy = (input) => {
  const order = sortByRendezvous(input.hash, input.chatKey ?? '', input.candidates.ids);
  return buildPlacement(
    input,
    order.find((id) => !input.tried.has(id)),
  );
};

const createRoundRobin = (): PlacementStrategy => {
  let next = 0;
  return (input) => {
    next += 1;
    return buildPlacement(input, input.candidates.ids[next % input.candidates.ids.length]);
  };
};

/**
 * Chooses the engine with the most cached tokens of the chat, then the lowest load, within the load
 * bound. Reads caches and loads directly from the engines, without delay.
 */
const createOmniscient: Policy['createStrategy'] = ({ engines, multiple }) => {
  const readLoad = (id: string) => engines.get(id)?.readStats().running ?? 0;
  return (input) => {
    const ids = input.candidates.ids.filter((id) => !input.tried.has(id));
    const total = ids.reduce((sum, id) => sum + readLoad(id), 0);
    const bound = Math.max(1, Math.ceil((multiple * (total + 1)) / ids.length));
    const chat = input.chatKey ?? '';
    const ranked = ids
      .map((id) => ({ id, load: readLoad(id), cached: engines.get(id)?.countCached(chat) ?? 0 }))
      .filter(({ load }) => load + 1 <= bound)
      .sort((a, b) => b.cached - a.cached || a.load - b.load);
    return buildPlacement(input, ranked[0]?.id);
  };
};

/** Lists the policies that the bench compares; the last one is the entry's default. */
export function listPolicies(): Policy[] {
  return [
    { name: 'random', createStrategy: () => placeRandomly, loadMultiple: unboundedMultiple },
    { name: 'round robin', createStrategy: createRoundRobin, loadMultiple: unboundedMultiple },
    {
      name: 'rendezvous, no bound',
      createStrategy: () => placeByRendezvous,
      loadMultiple: unboundedMultiple,
    },
    { name: 'rendezvous, bounded', createStrategy: () => placeByRendezvous },
    { name: 'omniscient', createStrategy: createOmniscient, loadMultiple: unboundedMultiple },
    { name: 'home pointer', createStrategy: () => undefined },
  ];
}
