import type { ContactEvidence } from './contact-evidence.js';
import { contactLimits } from './contact-limits.js';
import type { Contact } from './contact.js';

/** Computes the contact state from the evidence at a monotonic time; section 6.3 of the design. */
export function computeContact(evidence: ContactEvidence, now: number): Contact {
  const { quorumFreshMs, leaseMs } = contactLimits;
  const { quorumSeenAt, relaySeenAt, quorumLossSeenAt, isStateConfirmed } = evidence;
  if (!isStateConfirmed) return 'isolated';
  if (now - quorumSeenAt <= quorumFreshMs) return 'attached';
  if (now - relaySeenAt <= quorumFreshMs) return 'relayed';
  if (now - quorumLossSeenAt <= leaseMs) return 'leaderless';
  if (now - Math.max(quorumSeenAt, relaySeenAt) > leaseMs) return 'isolated';
  return quorumSeenAt >= relaySeenAt ? 'attached' : 'relayed';
}
