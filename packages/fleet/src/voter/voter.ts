import type { openVoter } from './open-voter.js';

/** A daemon's part in the replicated log. */
export type Voter = ReturnType<typeof openVoter>;
