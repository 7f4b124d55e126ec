import { findRendezvousFirst } from '@vanillarelay/core';
import { chooseLessLoaded } from './choose-less-loaded.js';
import type { PlacementStrategy } from './placement-strategy.js';

/**
 * Chooses the chat's home first, then the holder that the home names, then the less loaded of two
 * endpoints. The home is the first endpoint in the chat's rendezvous order; its agent has a pointer
 * to the holder. When the home cannot be reached, the next endpoint in the order is chosen, whose
 * agent has a copy of the pointer.
 */
export const placeReturningChat: PlacementStrategy = (input) => {
  const { chatKey, candidates, tried, holder, isHolderLookupDone, hash } = input;
  if (chatKey !== undefined) {
    const holding = holder && !tried.has(holder) ? candidates.members.get(holder) : undefined;
    if (holding) return { member: holding, takeOver: false };
    if (!isHolderLookupDone) {
      const home = findRendezvousFirst(hash, chatKey, candidates.ids, tried);
      const member = home && candidates.members.get(home);
      return member && { member, takeOver: false };
    }
  }
  const member = chooseLessLoaded(input);
  return member && { member, takeOver: chatKey !== undefined };
};
