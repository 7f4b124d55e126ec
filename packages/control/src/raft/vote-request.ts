import type { Sender } from './sender.js';

/** Asks for a vote, or in a pre-vote whether it would be given. */
export interface VoteRequest {
  from: Sender;
  /** The disk whose vote counts; absent before the first membership is in the log. */
  toDisk?: string;
  term: number;
  lastIndex: number;
  lastTerm: number;
  isPreVote: boolean;
}
