import type { ChatId, PlacementUpdate } from '@vanillarelay/core';

type Pointer = Pick<PlacementUpdate, 'holder' | 'incarnation' | 'sequence'>;

const defaultMaxPointers = 65_536;

/** Creates the table of pointers to the holders of chats, as announced by the holders. */
export function createPointerTable(maxPointers = defaultMaxPointers) {
  /** Least recently updated first. */
  const pointers = new Map<ChatId, Pointer>();

  /** Stores an update unless a later one is known. */
  const receive = ({ chat: chatKey, holder, incarnation, sequence }: PlacementUpdate): void => {
    const known = pointers.get(chatKey);
    if (known && known.sequence >= sequence) return;
    pointers.delete(chatKey);
    pointers.set(chatKey, { holder, incarnation, sequence });
    if (pointers.size > maxPointers) pointers.delete(pointers.keys().next().value!);
  };

  return {
    receive,
    find: (chatKey: ChatId): Pointer | undefined => pointers.get(chatKey),
    remove: (chatKey: ChatId): boolean => pointers.delete(chatKey),
    count: () => pointers.size,
  };
}
