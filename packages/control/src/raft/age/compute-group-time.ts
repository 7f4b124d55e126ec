import { listVoters } from '../membership/list-voters.js';
import type { RaftContext } from '../raft-context.js';

/**
 * Wall time as the median of the voters' clocks (the lower of two middle values), so that one wrong
 * clock cannot expire records early; undefined while fewer than a majority are known. @internal
 */
export function computeGroupTime(context: RaftContext): number | undefined {
  const { clock, clockOffsets, log } = context;
  const voters = listVoters(context);
  const offsets = voters
    .flatMap(({ diskId }) =>
      diskId === log.identity.diskId ? 0 : (clockOffsets.get(diskId) ?? []),
    )
    .sort((a, b) => a - b);
  if (offsets.length <= voters.length / 2) return undefined;
  return clock.now() + (offsets[Math.floor((offsets.length - 1) / 2)] ?? 0);
}
