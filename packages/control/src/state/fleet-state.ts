import type { CommandResult, DaemonState, Fingerprint, EndpointId } from '@vanillarelay/core';
import type { ChangeEntry } from './change-entry.js';
import type { RequestRecord } from './request-record.js';

/** The state that the control nodes build from the replicated log. */
export interface FleetState {
  /** State that every daemon follows; replaced, never changed in place. */
  daemon: DaemonState;
  /** Results of operators' changes by change id, oldest first, for resends. */
  changes: Map<string, CommandResult>;
  /** Accepted changes, oldest first. */
  history: ChangeEntry[];
  /** Records of non-idempotent requests by `account\nkey`, in the order of their last change. */
  records: Map<string, RequestRecord>;
  /** Hashes of the keys of expired records with the time of expiry, oldest first. */
  tombstones: Map<string, number>;
  /** Highest incarnation of each endpoint's agent that claimed or reported something. */
  incarnations: Map<EndpointId, number>;
  /** Ids of the crash reports counted in a mark, so that a resent report counts once. */
  crashReports: Map<Fingerprint, string[]>;
  /** End of the lease of each weight-load permit, in milliseconds since the epoch. */
  permits: Map<EndpointId, number>;
  /** Time of the last applied entry. */
  at: number;
}
