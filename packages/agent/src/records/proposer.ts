import type { createProposer } from './create-proposer.js';

/** Proposes one record command, batched with others. */
export type Proposer = ReturnType<typeof createProposer>;
