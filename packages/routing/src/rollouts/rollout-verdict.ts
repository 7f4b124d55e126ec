/** A verdict on a roll-out, with the counts that decided. */
export interface RolloutVerdict {
  /** Absent while the evidence decides nothing. */
  outcome?: 'completed' | 'rolledBack';
  /** Whether the evidence for good suffices to give the version all requests, as the last test. */
  isSound: boolean;
  /** Route whose answers decided; absent when those of the service did. */
  route?: string;
  /** Whether the answers of the recent window decided. */
  isRecent?: boolean;
  good: number;
  bad: number;
  /** Upper bound of the old side's share of bad answers. */
  oldShare: number;
  /** Logarithm of the likelihood ratio; positive against the version. */
  evidence: number;
  /** The same of the service's recent answers, without an endpoint or data centre that fails. */
  recentEvidence: number;
}
