import type { Member } from '@vanillarelay/core';
import type { PlacementStrategy } from './placement-strategy.js';

/** Added to the rank of endpoints at their limit, so that all others precede them. */
const fullPenalty = 1_000_000;

/** Chooses the less loaded of two random untried endpoints, preferably with capacity. */
export function chooseLessLoaded(input: Parameters<PlacementStrategy>[0]): Member | undefined {
  const { candidates, tried, random } = input;
  const untried = tried.size === 0 ? candidates.ids : candidates.ids.filter((id) => !tried.has(id));
  const withCapacity = untried.filter((id) => hasCapacity(input, candidates.members.get(id)!));
  const ids = withCapacity.length > 0 ? withCapacity : untried;
  const firstIndex = Math.floor(random() * ids.length);
  const offset = 1 + Math.floor(random() * (ids.length - 1));
  const first = candidates.members.get(ids[firstIndex]!);
  const second = candidates.members.get(ids[(firstIndex + offset) % ids.length]!);
  if (!first || !second) return first;
  return computeRank(input, second) < computeRank(input, first) ? second : first;
}

/** Whether one more request is within the bound of the endpoint, as far as this entry knows. */
function hasCapacity(
  { candidates, readLoad }: Parameters<PlacementStrategy>[0],
  { id, status }: Member,
): boolean {
  const { bound, coldLimit } = candidates;
  return readLoad(id) + 1 <= (status === 'cold' ? Math.min(bound, coldLimit) : bound);
}

function computeRank(
  { candidates, readLoad }: Parameters<PlacementStrategy>[0],
  member: Member,
): number {
  const load = readLoad(member.id);
  const limit = member.status === 'cold' ? candidates.coldLimit : member.slots;
  return load >= limit ? load + fullPenalty : load;
}
