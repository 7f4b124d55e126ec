import { findRendezvousFirst } from '@vanillarelay/core';
import { chooseLessLoaded } from './choose-less-loaded.js';
import type { Place } from './place.js';

/**
 * The chat's home first, then the holder that it names, then the less loaded of two. When the home
 * cannot be reached, the next in the rendezvous order has a copy of its pointer and is asked.
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
