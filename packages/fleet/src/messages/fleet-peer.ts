import type { RaftPeer } from '@vanillarelay/control';
import type { EndpointRecord } from '@vanillarelay/routing';
import type { HelloReply } from './hello-reply.js';
import type { HelloRequest } from './hello-request.js';
import type { IndexReply } from './index-reply.js';
import type { Proposal } from './proposal.js';
import type { ProposalReply } from './proposal-reply.js';
import type { RemovalRequest } from './removal-request.js';
import type { SyncReply } from './sync-reply.js';
import type { SyncRequest } from './sync-request.js';

/** Calls to another daemon. */
export interface FleetPeer {
  hello(request: HelloRequest, signal: AbortSignal): Promise<HelloReply>;
  sync(request: SyncRequest, signal: AbortSignal): Promise<SyncReply>;
  /**
   * Announces an endpoint to a hub. When the endpoint is not ready and the message comes from a
   * daemon, resolves only once a majority of the hubs has the record.
   */
  announce(
    message: { record: EndpointRecord; isRelayed: boolean },
    signal: AbortSignal,
  ): Promise<void>;
  /** Proposes a change; only the leader accepts it. */
  propose(proposal: Proposal, signal: AbortSignal): Promise<ProposalReply>;
  /** Reads the index of the newest state, confirmed by a quorum; only the leader answers. */
  readIndex(signal: AbortSignal): Promise<IndexReply>;
  /**
   * Removes the voter of a daemon that stops from the control group. Only the leader does so, and
   * only while the group has more voters than it keeps.
   */
  requestRemoval(request: RemovalRequest, signal: AbortSignal): Promise<void>;
  raft: RaftPeer;
}
