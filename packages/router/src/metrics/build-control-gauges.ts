import type { FleetNode } from '@vanillarelay/fleet';

/** Gauges of this daemon's control node; none on a VM without a disk. */
export function buildControlGauges(
  summary: ReturnType<FleetNode['readControlSummary']>,
): Record<string, number> {
  if (!summary) return {};
  return {
    relay_is_leader: summary.role === 'leader' ? 1 : 0,
    relay_log_term: summary.term,
    relay_log_commit_index: summary.commitIndex,
    relay_log_lag: summary.lastIndex - summary.appliedIndex,
    relay_control_members: summary.members.length,
  };
}
