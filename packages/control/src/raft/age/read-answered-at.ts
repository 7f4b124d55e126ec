import type { RaftContext } from '../raft-context.js';

/** Monotonic time at which a member was last known to be alive, as its leader sees it. @internal */
export function readAnsweredAt({ log, clock, progress }: RaftContext, diskId: string): number {
  if (diskId === log.identity.diskId) return clock.monotonic();
  return progress.get(diskId)?.answeredAt ?? Number.NEGATIVE_INFINITY;
}
