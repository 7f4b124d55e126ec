import type { EndpointId } from '@vanillarelay/core';
import { createRecentMap } from './create-recent-map.js';
import type { WorkRequest } from './work-request.js';

type PromptParts = WorkRequest['promptParts'];

/** Bounds the memory of a router that sees many prompts. */
const maxParts = 8_192;
const maxPrompts = 2_048;
/** Time after its last send for which an endpoint is assumed to hold a part. */
const heldMs = 120_000;

/** What an endpoint has probably to read of a prompt, in tokens. */
interface UnreadTokens {
  /** Tokens of the parts that other requests share. */
  shared: number;
  /** Tokens of the part that belongs to the request itself. */
  own: number;
}

/** Creates the view of the prompt parts that endpoints hold, from this router's own sends. */
export function createCacheView() {
  const partsSentAt = createRecentMap<string, number>(maxParts);
  const placements = createRecentMap<string, { id: EndpointId; at: number; isMoved: boolean }>(
    maxPrompts,
  );
  const buildKey = (endpoint: EndpointId, part: string): string => `${endpoint}\n${part}`;

  return {
    recordSend: (endpoint: EndpointId, parts: PromptParts, now: number): void =>
      parts.forEach(({ id }) => partsSentAt.set(buildKey(endpoint, id), now)),
    /** Forgets the parts of a request that did not run at the endpoint. */
    removeSend: (endpoint: EndpointId, parts: PromptParts, sentAt: number): void =>
      parts.forEach(({ id }) => {
        const key = buildKey(endpoint, id);
        if (partsSentAt.get(key) === sentAt) partsSentAt.remove(key);
      }),
    /** Counts the tokens after the parts that were sent to the endpoint since its start at `since`. */
    countUnread: (
      endpoint: EndpointId,
      { promptParts, promptTokens }: Pick<WorkRequest, 'promptParts' | 'promptTokens'>,
      since: number,
      now: number,
    ): UnreadTokens => {
      const oldest = Math.max(since, now - heldMs);
      const firstUnread = promptParts.findIndex(({ id }) => {
        const sentAt = partsSentAt.get(buildKey(endpoint, id));
        return sentAt === undefined || sentAt < oldest;
      });
      const unread = firstUnread < 0 ? [] : promptParts.slice(firstUnread);
      const namedTokens = countTokens(promptParts);
      const unnamedTokens = Math.max(0, promptTokens - namedTokens);
      const hasOwnPart = promptParts.length > 1 && unread.length > 0;
      const ownPart = hasOwnPart ? (unread.at(-1)?.tokens ?? 0) : 0;
      return { shared: countTokens(unread) - ownPart, own: ownPart + unnamedTokens };
    },
    /** Remembers where this router sent a prompt; returns whether it had sent it before. */
    recordPlacement: (key: string, id: EndpointId, isMoved: boolean, now: number): boolean => {
      const known = placements.get(key);
      const isKept = known !== undefined && known.isMoved && known.id === id;
      placements.set(key, isKept ? known : { id, at: now, isMoved });
      return known !== undefined;
    },
    /** Finds where this router sent a prompt after `since`, if that was instead of its home. */
    findMoved: (key: string, since: number): EndpointId | undefined => {
      const placement = placements.get(key);
      const isRecent = placement !== undefined && placement.isMoved && placement.at >= since;
      return isRecent ? placement.id : undefined;
    },
  };
}

function countTokens(parts: PromptParts): number {
  return parts.reduce((sum, { tokens }) => sum + tokens, 0);
}
