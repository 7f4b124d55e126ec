import type { Member } from '@vanillarelay/core';
import type { Place } from './place.js';

/** Ranks endpoints at their limit behind all others. */
const fullPenalty = 1_000_000;

/** Chooses the less loaded of two random untried endpoints, preferably among those with room. */
export function chooseLessLoaded(input: Parameters<Place>[0]): Member | undefined {
  const { candidates, tried, random } = input;
  const untried = tried.size === 0 ? candidates.ids : candidates.ids.filter((id) => !tried.has(id));
  const withRoom = untried.filter((id) => hasRoom(input, candidates.members.get(id)!));
  const ids = withRoom.length > 0 ? withRoom : untried;
  const firstIndex = Math.floor(random() * ids.length);
  const offset = 1 + Math.floor(random() * (ids.length - 1));
  const first = candidates.members.get(ids[firstIndex]!);
  const second = candidates.members.get(ids[(firstIndex + offset) % ids.length]!);
  if (!first || !second) return first;
  return computeRank(input, second) < computeRank(input, first) ? second : first;
}

/** Whether the endpoint can take one more request within its bound, as far as this entry knows. */
function hasRoom({ candidates, readLoad }: Parameters<Place>[0], { id, status }: Member): boolean {
  const { bound, coldLimit } = candidates;
  return readLoad(id) + 1 <= (status === 'cold' ? Math.min(bound, coldLimit) : bound);
}

function computeRank({ candidates, readLoad }: Parameters<Place>[0], member: Member): number {
  const load = readLoad(member.id);
  const limit = member.status === 'cold' ? candidates.coldLimit : member.slots;
  return load >= limit ? load + fullPenalty : load;
}
