import type { AccountId, Clock, Random } from '@vanillarelay/core';
import type { ChatTurn } from './chat-turn.js';

/** Options of generated chat traffic. */
export interface TrafficOptions {
  clock: Clock;
  random: Random;
  /** Number of chats that run at the same time. */
  chats: number;
  /** Accounts, each with its relative share of the chats. */
  accounts: { id: AccountId; weight: number }[];
  /** Mean pause between the turns of a chat, long pauses excluded, in milliseconds. */
  pauseMs: number;
  /** Share of the pauses that are long, and the factor by which they are longer. */
  longPause: { share: number; factor: number };
  /** Mean number of turns of a chat; a new chat takes the place of one that ended. */
  turns: number;
  /** Lowest and highest length of a user's message, in characters. */
  turnCharacters: [number, number];
  /** Sends a turn and resolves with the answer's text once the answer is complete. */
  send: (turn: ChatTurn, signal: AbortSignal) => Promise<string | undefined>;
}
