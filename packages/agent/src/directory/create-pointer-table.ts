import type { ChatId, PlacementNote } from '@vanillarelay/core';

type Pointer = Pick<PlacementNote, 'holder' | 'incarnation' | 'sequence'>;

const pointerLimit = 65_536;

/** Makes the table of chats whose rendezvous order begins here: which endpoint holds each. */
export function createPointerTable(limit = pointerLimit) {
  /** Least recently noted first. */
  const pointers = new Map<ChatId, Pointer>();

  /** Takes a note in unless a later one is known. */
  const receive = ({ chat, holder, incarnation, sequence }: PlacementNote): void => {
    const known = pointers.get(chat);
    if (known && known.sequence >= sequence) return;
    pointers.delete(chat);
    pointers.set(chat, { holder, incarnation, sequence });
    if (pointers.size > limit) pointers.delete(pointers.keys().next().value!);
  };

  return {
    receive,
    find: (chat: ChatId): Pointer | undefined => pointers.get(chat),
    remove: (chat: ChatId): boolean => pointers.delete(chat),
    count: () => pointers.size,
  };
}
