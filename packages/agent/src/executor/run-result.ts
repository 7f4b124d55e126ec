import type { DispatchReply } from '@vanillarelay/core';

type Answer = Extract<DispatchReply, { type: 'answer' }>;

/** The answer to a request that was run or replayed. */
export type RunResult = Omit<Answer, 'stateVersion' | 'at'>;
