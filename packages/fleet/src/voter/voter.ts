import type { openVoter } from './open-voter.js';

/** A daemon's node of the replicated log, as `openVoter` returns it. */
export type Voter = ReturnType<typeof openVoter>;
