import type { ContactReport } from '@vanillarelay/core';
import type { ContactEvidence } from './contact-evidence.js';
import { contactLimits } from './contact-limits.js';

/** Computes a daemon's observation of the quorum, which it reports to its peers. */
export function computeQuorumObservation(
  evidence: ContactEvidence,
  now: number,
): ContactReport['sees'] {
  const { leaseMs, quorumFreshMs } = contactLimits;
  const { quorumSeenAt, relaySeenAt, majorityLossSeenAt, silenceSeenAt } = evidence;
  if (now - Math.max(quorumSeenAt, relaySeenAt) <= quorumFreshMs) return 'quorum';
  if (now - majorityLossSeenAt <= leaseMs) return 'quorumLost';
  return now - silenceSeenAt <= leaseMs ? 'nothing' : 'unknown';
}
