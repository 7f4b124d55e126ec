import type { Member } from '@vanillarelay/core';
import type { Place } from './place.js';

/** Ranks a full or cold and occupied endpoint behind every other one. */
const fullPenalty = 1_000_000;

/** The less loaded of two random endpoints that have not been tried. */
export function chooseLessLoaded(input: Parameters<Place>[0]): Member | undefined {
  const { candidates, tried, random } = input;
  const ids = tried.size === 0 ? candidates.ids : candidates.ids.filter((id) => !tried.has(id));
  const firstIndex = Math.floor(random() * ids.length);
  const offset = 1 + Math.floor(random() * (ids.length - 1));
  const first = candidates.members.get(ids[firstIndex]!);
  const second = candidates.members.get(ids[(firstIndex + offset) % ids.length]!);
  if (!first || !second) return first;
  return computeRank(input, second) < computeRank(input, first) ? second : first;
}

function computeRank({ candidates, readLoad }: Parameters<Place>[0], member: Member): number {
  const load = readLoad(member.id);
  const limit = member.status === 'cold' ? candidates.coldLimit : member.slots;
  return load >= limit ? load + fullPenalty : load;
}
