import { computeQuorumValue } from '../membership/compute-quorum-value.js';
import { listPossibleGroups } from '../membership/list-possible-groups.js';
import { listVoters } from '../membership/list-voters.js';
import type { RaftContext } from '../raft-context.js';

/**
 * Wall time as the median of the voters' clocks (the lower of two middle values), so that one wrong
 * clock cannot expire records early; undefined while fewer than a quorum are known. @internal
 */
export function computeGroupTime(context: RaftContext): number | undefined {
  const { clock, clockOffsets, log } = context;
  const readOffset = (diskId: string): number | undefined =>
    diskId === log.identity.diskId ? 0 : clockOffsets.get(diskId);
  const isQuorumKnown =
    computeQuorumValue(listPossibleGroups(context), (diskId) =>
      Number(readOffset(diskId) !== undefined),
    ) === 1;
  if (!isQuorumKnown) return undefined;
  const offsets = listVoters(context)
    .flatMap(({ diskId }) => readOffset(diskId) ?? [])
    .sort((a, b) => a - b);
  return clock.now() + (offsets[Math.floor((offsets.length - 1) / 2)] ?? 0);
}
