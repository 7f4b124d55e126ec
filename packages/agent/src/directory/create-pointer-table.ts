import type { ChatId, PlacementNote } from '@vanillarelay/core';

type Pointer = Pick<PlacementNote, 'holder' | 'incarnation' | 'sequence'>;

const defaultLimit = 65_536;

/** Makes the table of the holders of chats whose rendezvous order starts with this agent. */
export function createPointerTable(limit = defaultLimit) {
  /** Least recently updated first. */
  const pointers = new Map<ChatId, Pointer>();

  /** Stores a note unless a later one is known. */
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
