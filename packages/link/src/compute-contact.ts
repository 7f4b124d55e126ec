import type { ContactEvidence } from './contact-evidence.js';
import { contactLimits } from './contact-limits.js';
import type { Contact } from './contact.js';

/** Computes the contact state from the evidence at a monotonic time; section 6.3 of the design. */
export function computeContact(evidence: ContactEvidence, now: number): Contact {
  const { quorumFreshMs, leaseMs } = contactLimits;
  const { quorumSeenAt, relaySeenAt, lossSeenAt, isConfirmed } = evidence;
  if (!isConfirmed) return 'isolated';
  if (now - quorumSeenAt <= quorumFreshMs) return 'attached';
  if (now - relaySeenAt <= quorumFreshMs) return 'relayed';
  if (now - lossSeenAt <= leaseMs) return 'leaderless';
  if (now - Math.max(quorumSeenAt, relaySeenAt) > leaseMs) return 'isolated';
  return quorumSeenAt >= relaySeenAt ? 'attached' : 'relayed';
}
