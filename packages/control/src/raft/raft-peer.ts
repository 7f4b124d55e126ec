import type { AppendReply } from './replication/append-reply.js';
import type { AppendRequest } from './replication/append-request.js';
import type { Sender } from './disk/sender.js';
import type { SnapshotRequest } from './snapshot/snapshot-request.js';
import type { VoteReply } from './election/vote-reply.js';
import type { VoteRequest } from './election/vote-request.js';

/** Calls that one control node offers to its peers. */
export interface RaftPeer {
  requestVote(request: VoteRequest, signal: AbortSignal): Promise<VoteReply>;
  appendEntries(request: AppendRequest, signal: AbortSignal): Promise<AppendReply>;
  installSnapshot(request: SnapshotRequest, signal: AbortSignal): Promise<AppendReply>;
  readSender(signal: AbortSignal): Promise<Sender>;
}
