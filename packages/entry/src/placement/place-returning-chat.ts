import { findRendezvousFirst } from '@vanillarelay/core';
import { chooseLessLoaded } from './choose-less-loaded.js';
import type { Place } from './place.js';

/**
 * Tries the chat's home first, then the holder that the home names, then the less loaded of two
 * endpoints. When the home cannot be reached, the next endpoint in the rendezvous order is asked:
 * it has a copy of the pointer to the holder.
 */
export const placeReturningChat: Place = (input) => {
  const { chatKey, candidates, tried, holder, isHomeAsked, hash } = input;
  if (chatKey !== undefined) {
    const holding = holder && !tried.has(holder) ? candidates.members.get(holder) : undefined;
    if (holding) return { member: holding, takeOver: false };
    if (!isHomeAsked) {
      const home = findRendezvousFirst(hash, chatKey, candidates.ids, tried);
      const member = home && candidates.members.get(home);
      return member && { member, takeOver: false };
    }
  }
  const member = chooseLessLoaded(input);
  return member && { member, takeOver: chatKey !== undefined };
};
