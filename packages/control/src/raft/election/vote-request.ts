import type { Sender } from '../disk/sender.js';

/** Request for a vote; a pre-vote only asks whether the vote would be granted. */
export interface VoteRequest {
  from: Sender;
  /** The disk whose vote counts; absent before the first membership is in the log. */
  toDisk?: string;
  term: number;
  lastIndex: number;
  lastTerm: number;
  isPreVote: boolean;
}
