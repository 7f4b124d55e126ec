import type { AppendReply } from './append-reply.js';
import type { AppendRequest } from './append-request.js';
import type { Sender } from './sender.js';
import type { SnapshotRequest } from './snapshot-request.js';
import type { VoteReply } from './vote-reply.js';
import type { VoteRequest } from './vote-request.js';

/** Calls that one control node offers to its peers. */
export interface RaftPeer {
  requestVote(request: VoteRequest, signal: AbortSignal): Promise<VoteReply>;
  appendEntries(request: AppendRequest, signal: AbortSignal): Promise<AppendReply>;
  installSnapshot(request: SnapshotRequest, signal: AbortSignal): Promise<AppendReply>;
  readSender(signal: AbortSignal): Promise<Sender>;
}
