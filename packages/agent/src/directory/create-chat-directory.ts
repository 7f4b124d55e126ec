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
  type PlacementUpdate,
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

/** The caller may retry at the named holder at once. */
const holderRetryAfterMs = 0;
/** Limits of one round of `updatePlacements`, so that a membership change causes no burst. */
const maxCheckedChatsPerRound = 64;
const maxAnnouncementsPerRound = 4;

/**
 * Creates an agent's share of the chat directory, which maps each chat to its holder: the endpoint
 * whose engine has the chat's prompt in its cache. The share consists of the chats held here and of
 * pointers to the holders of those chats that have this agent among the first two in rendezvous
 * order.
 */
export function createChatDirectory(options: ChatDirectoryOptions) {
  const { id, incarnation, service, clock, hlc, hash, findLink, openAgent } = options;
  const pointers = createPointerTable();
  const held = createHeldChats();
  /** Generation of the set of ready endpoints for which `pendingChats` was listed. */
  let listedGeneration = 0;
  /** Held chats whose pointers are still to be checked against the current ready endpoints. */
  let pendingChats: [ChatId, HeldChat][] = [];
  const chatOrder = createChatOrder({ service, hash, readView: () => findLink().readView() });

  /** Throws `chatElsewhere` when another ready endpoint holds the request's chat. */
  const checkHolder = ({ account, chat, takeOver }: DispatchRequest): void => {
    if (!chat || takeOver) return;
    const chatKey = buildChatKey(account, chat);
    if (held.find(chatKey)) return;
    const pointer = pointers.find(chatKey);
    if (!pointer || pointer.holder === id) return;
    const holder = chatOrder.findReady(pointer.holder);
    if (!holder || holder.incarnation !== pointer.incarnation) return;
    throw new RelayError(ResultCode.chatElsewhere, `chat is held by ${pointer.holder}`, {
      notRun: true,
      retryAfterMs: holderRetryAfterMs,
      holder: pointer.holder,
    });
  };

  const sendPlacement = async (member: Member, update: PlacementUpdate): Promise<void> => {
    if (member.id === id) pointers.receive(update);
    else await openAgent(member.address).announcePlacement(update);
  };

  /**
   * Notifies the two agents that store the pointer to the chat's holder: the first in rendezvous
   * order and one backup. Returns false if they were notified already.
   */
  const announcePlacement = async (chatKey: ChatId, heldChat: HeldChat): Promise<boolean> => {
    const generation = chatOrder.readGeneration();
    if (heldChat.notifiedAgents !== '' && heldChat.checkedGeneration === generation) return false;
    heldChat.checkedGeneration = generation;
    const targets = chatOrder.list(chatKey).slice(0, 2);
    const targetAgents = formatAgents(targets);
    if (heldChat.notifiedAgents === targetAgents) return false;
    heldChat.notifiedAgents = targetAgents;
    const { sequence } = heldChat;
    const update: PlacementUpdate = { service, chat: chatKey, holder: id, incarnation, sequence };
    try {
      await Promise.all(targets.map((member) => sendPlacement(member, update)));
    } catch {
      // Sent again at the chat's next run, or when the ready endpoints change.
      heldChat.notifiedAgents = '';
    }
    return true;
  };

  /** Records that a request of the chat runs here, which makes this endpoint its holder. */
  const recordRun = ({ account, chat }: DispatchRequest, tokens = 0): void => {
    if (!chat) return;
    const chatKey = buildChatKey(account, chat);
    const known = held.find(chatKey);
    const pointer = pointers.find(chatKey);
    // The chat had moved to another holder and returns: this is a new move, to be announced again.
    const isReturning = pointer !== undefined && pointer.holder !== id;
    const heldChat: HeldChat = {
      tokens: Math.max(tokens, known?.tokens ?? 0),
      usedAt: clock.monotonic(),
      sequence: known && !isReturning ? known.sequence : computeSequence(hlc.read()),
      notifiedAgents: isReturning ? '' : (known?.notifiedAgents ?? ''),
      checkedGeneration: known?.checkedGeneration ?? 0,
    };
    held.add(chatKey, heldChat);
    void announcePlacement(chatKey, heldChat);
  };

  /**
   * Stores the size of the chat's prompt. A cache miss of a held chat shows that the engine has
   * evicted it and every chat used no later, so those chats are removed.
   */
  const recordUsage = (
    { account, chat }: DispatchRequest,
    usage: { promptTokens: number; cachedTokens: number },
    previousUseAt: number | undefined,
  ): void => {
    if (!chat) return;
    const known = held.find(buildChatKey(account, chat));
    if (known) known.tokens = usage.promptTokens;
    if (usage.cachedTokens > 0 || previousUseAt === undefined) return;
    held.removeUnusedSince(previousUseAt).forEach((chatKey) => {
      if (pointers.find(chatKey)?.holder === id) pointers.remove(chatKey);
    });
  };

  const findHeld = ({ account, chat }: DispatchRequest): HeldChat | undefined =>
    chat ? held.find(buildChatKey(account, chat)) : undefined;

  const receivePlacement = (update: PlacementUpdate): void => {
    const member = findLink().readView().members.get(update.holder);
    if (update.service !== service || (member && update.incarnation < member.incarnation)) return;
    pointers.receive(update);
    const chatKey = update.chat;
    const heldChat = held.find(chatKey);
    if (heldChat && update.holder !== id && update.sequence > heldChat.sequence)
      held.remove(chatKey);
  };

  /** Announces held chats again whose first two agents in rendezvous order have changed. */
  const updatePlacements = async (): Promise<void> => {
    if (listedGeneration !== chatOrder.readGeneration()) {
      listedGeneration = chatOrder.readGeneration();
      pendingChats = held.listRecent();
    }
    let announcements = 0;
    for (const [chatKey, heldChat] of pendingChats.splice(0, maxCheckedChatsPerRound)) {
      const isHeld = held.find(chatKey) === heldChat;
      if (
        isHeld &&
        announcements < maxAnnouncementsPerRound &&
        (await announcePlacement(chatKey, heldChat))
      )
        announcements += 1;
      else if (isHeld && announcements >= maxAnnouncementsPerRound)
        pendingChats.push([chatKey, heldChat]);
    }
  };

  /** Records a chat whose cache was imported here. */
  const receiveCache = ({ chat: chatKey, tokens }: CacheTransfer): void => {
    const heldChat: HeldChat = {
      tokens,
      usedAt: clock.monotonic(),
      sequence: computeSequence(hlc.read()),
      notifiedAgents: '',
      checkedGeneration: 0,
    };
    held.add(chatKey, heldChat);
    void announcePlacement(chatKey, heldChat);
  };

  /** Finds the ready endpoint that takes the chat over when this one leaves. */
  const findSuccessor = (chatKey: ChatId): Member | undefined =>
    chatOrder.list(chatKey).find((member) => member.id !== id);

  return {
    checkHolder,
    recordRun,
    recordUsage,
    findHeld,
    receivePlacement,
    updatePlacements,
    receiveCache,
    findSuccessor,
    listHeld: held.listRecent,
    removeHeld: held.remove,
    /** Removes all chats held here, because the engine has restarted. */
    clearHeld: (): void => held.clear(),
    countPointers: pointers.count,
    findPointer: (chatKey: string) => pointers.find(toId<ChatId>(chatKey)),
  };
}

function formatAgents(members: Member[]): string {
  return members.map((member) => `${member.id}@${member.incarnation}`).join(' ');
}
