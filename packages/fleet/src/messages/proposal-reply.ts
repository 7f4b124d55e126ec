import type { CommandResult } from '@vanillarelay/core';
import type { ContentHash } from '../content/content-hash.js';

/** The leader's reply to a proposal: the result, or the part of the content that it needs next. */
export type ProposalReply =
  | { type: 'result'; result: CommandResult }
  | { type: 'contentMissing'; baseHash: ContentHash; offset: number };
