import {
  RelayError,
  ResultCode,
  toId,
  type AgentPeer,
  type CacheTransfer,
  type ChatId,
  type Clock,
  type DispatchRequest,
  type EndpointId,
  type Hash,
  type Hlc,
  type Member,
  type PlacementNote,
  type ServiceId,
} from '@vanillarelay/core';
import type { Link } from '@vanillarelay/link';
import { buildChatKey } from './build-chat-key.js';
import { computeSequence } from './compute-sequence.js';
import { createChatOrder } from './create-chat-order.js';
import { createHeldChats } from './create-held-chats.js';
import { createPointerTable } from './create-pointer-table.js';
import type { HeldChat } from './held-chat.js';

interface ChatDirectoryOptions {
  id: EndpointId;
  incarnation: number;
  service: ServiceId;
  clock: Clock;
  hlc: Hlc;
  hash: Hash;
  findLink: () => Pick<Link, 'readView'>;
  openAgent: (address: string) => AgentPeer;
}

const elsewhereRetryMs = 0;
/** Chats checked and announced in one round, so that a membership change causes no burst. */
const chatsPerRound = 64;
const notesPerRound = 4;

/** Makes the agent's part of the chat directory, and its list of the chats held here. */
export function createChatDirectory(options: ChatDirectoryOptions) {
  const { id, incarnation, service, clock, hlc, hash, findLink, openAgent } = options;
  const pointers = createPointerTable();
  const held = createHeldChats();
  let scannedGeneration = 0;
  let unscanned: [ChatId, HeldChat][] = [];
  const order = createChatOrder({ service, hash, readView: () => findLink().readView() });

  /** Throws `chatElsewhere` when another ready endpoint holds the request's chat. */
  const checkHolder = ({ account, chat, takeOver }: DispatchRequest): void => {
    if (!chat || takeOver) return;
    const key = buildChatKey(account, chat);
    if (held.find(key)) return;
    const pointer = pointers.find(key);
    if (!pointer || pointer.holder === id) return;
    const holder = order.findReady(pointer.holder);
    if (!holder || holder.incarnation !== pointer.incarnation) return;
    throw new RelayError(ResultCode.chatElsewhere, `chat is held by ${pointer.holder}`, {
      notRun: true,
      retryAfterMs: elsewhereRetryMs,
      holder: pointer.holder,
    });
  };

  const sendNote = async (member: Member, note: PlacementNote): Promise<void> => {
    if (member.id === id) pointers.receive(note);
    else await openAgent(member.address).notePlacement(note);
  };

  /** Notifies the first two agents of the chat's rendezvous order, unless both know already. */
  const announcePlacement = async (chat: ChatId, heldChat: HeldChat): Promise<boolean> => {
    const generation = order.readGeneration();
    if (heldChat.notifiedAgents !== '' && heldChat.checkedGeneration === generation) return false;
    heldChat.checkedGeneration = generation;
    const targets = order.list(chat).slice(0, 2);
    const targetNames = formatAgents(targets);
    if (heldChat.notifiedAgents === targetNames) return false;
    heldChat.notifiedAgents = targetNames;
    const { sequence } = heldChat;
    const note: PlacementNote = { service, chat, holder: id, incarnation, sequence };
    try {
      await Promise.all(targets.map((member) => sendNote(member, note)));
    } catch {
      heldChat.notifiedAgents = '';
    }
    return true;
  };

  /** Records that the chat runs here now. */
  const recordRun = ({ account, chat }: DispatchRequest, tokens = 0): void => {
    if (!chat) return;
    const key = buildChatKey(account, chat);
    const known = held.find(key);
    const pointer = pointers.find(key);
    // The chat has moved away and returns: the notes of the other holder are outdated.
    const isReturning = pointer !== undefined && pointer.holder !== id;
    const next: HeldChat = {
      tokens: Math.max(tokens, known?.tokens ?? 0),
      usedAt: clock.monotonic(),
      sequence: known && !isReturning ? known.sequence : computeSequence(hlc.read()),
      notifiedAgents: isReturning ? '' : (known?.notifiedAgents ?? ''),
      checkedGeneration: known?.checkedGeneration ?? 0,
    };
    held.add(key, next);
    void announcePlacement(key, next);
  };

  /** Removes the chats that the engine has evicted, which a cache miss of a held chat reveals. */
  const recordUsage = (
    { account, chat }: DispatchRequest,
    usage: { promptTokens: number; cachedTokens: number },
    previousUseAt: number | undefined,
  ): void => {
    if (!chat) return;
    const known = held.find(buildChatKey(account, chat));
    if (known) known.tokens = usage.promptTokens;
    if (usage.cachedTokens > 0 || previousUseAt === undefined) return;
    held.removeUnusedSince(previousUseAt).forEach((key) => {
      if (pointers.find(key)?.holder === id) pointers.remove(key);
    });
  };

  const findHeld = ({ account, chat }: DispatchRequest): HeldChat | undefined =>
    chat ? held.find(buildChatKey(account, chat)) : undefined;

  const receiveNote = (note: PlacementNote): void => {
    const member = findLink().readView().members.get(note.holder);
    if (note.service !== service || (member && note.incarnation < member.incarnation)) return;
    pointers.receive(note);
    const key = note.chat;
    const own = held.find(key);
    if (own && note.holder !== id && note.sequence > own.sequence) held.remove(key);
  };

  /** Announces the chats whose first two agents have changed, a few at a time. */
  const updatePlacements = async (): Promise<void> => {
    if (scannedGeneration !== order.readGeneration()) {
      scannedGeneration = order.readGeneration();
      unscanned = held.listRecent();
    }
    let notes = 0;
    for (const [chat, heldChat] of unscanned.splice(0, chatsPerRound)) {
      const isHeld = held.find(chat) === heldChat;
      if (isHeld && notes < notesPerRound && (await announcePlacement(chat, heldChat))) notes += 1;
      else if (isHeld && notes >= notesPerRound) unscanned.push([chat, heldChat]);
    }
  };

  /** Records a chat whose cache was imported here. */
  const receiveCache = ({ chat, tokens }: CacheTransfer): void => {
    const next: HeldChat = {
      tokens,
      usedAt: clock.monotonic(),
      sequence: computeSequence(hlc.read()),
      notifiedAgents: '',
      checkedGeneration: 0,
    };
    held.add(chat, next);
    void announcePlacement(chat, next);
  };

  /** The ready endpoint that takes the chat over when this one leaves. */
  const findSuccessor = (chat: ChatId): Member | undefined =>
    order.list(chat).find((member) => member.id !== id);

  return {
    checkHolder,
    recordRun,
    recordUsage,
    findHeld,
    receiveNote,
    updatePlacements,
    receiveCache,
    findSuccessor,
    listHeld: held.listRecent,
    removeHeld: held.remove,
    /** Removes all chats held here, because the engine has restarted. */
    clearHeld: (): void => held.clear(),
    countPointers: pointers.count,
    findPointer: (chat: string) => pointers.find(toId<ChatId>(chat)),
  };
}

function formatAgents(members: Member[]): string {
  return members.map((member) => `${member.id}@${member.incarnation}`).join(' ');
}
