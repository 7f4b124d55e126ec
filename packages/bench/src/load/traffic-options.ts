import type { AccountId, Clock, Random } from '@vanillarelay/core';
import type { ChatTurn } from './chat-turn.js';

/** A population of returning chats. */
export interface TrafficOptions {
  clock: Clock;
  random: Random;
  chats: number;
  /** Accounts with their share of the chats. */
  accounts: { id: AccountId; weight: number }[];
  /** Mean pause before a chat returns, in milliseconds. */
  pauseMs: number;
  /** Share of the pauses that are long, and the factor by which they are longer. */
  longPause: { share: number; factor: number };
  /** Mean number of turns of a chat; a new chat takes the place of one that ended. */
  turns: number;
  /** Characters that each turn adds to the conversation, lowest and highest. */
  turnCharacters: [number, number];
  /** Sends a turn and resolves with the answer's text once the answer is complete. */
  send: (turn: ChatTurn, signal: AbortSignal) => Promise<string | undefined>;
}
