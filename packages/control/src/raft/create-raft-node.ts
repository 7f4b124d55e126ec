import type { CommandResult } from '@vanillarelay/core';
import { buildSender } from './disk/build-sender.js';
import { checkRunning } from './check-running.js';
import { computeStateAge } from './age/compute-state-age.js';
import { confirmLeadership } from './election/confirm-leadership.js';
import { createRaftContext } from './create-raft-context.js';
import { handleAppend } from './replication/handle-append.js';
import { handleSnapshot } from './snapshot/handle-snapshot.js';
import { handleVote } from './election/handle-vote.js';
import { applyMembershipChange } from './membership/apply-membership-change.js';
import { listMemberStatuses } from './membership/list-member-statuses.js';
import type { MembershipChange } from './membership/membership-change.js';
import { readGroupSize } from './membership/read-group-size.js';
import { removeLeavingMember } from './membership/remove-leaving-member.js';
import { proposeEntry } from './replication/propose-entry.js';
import type { RaftOptions } from './raft-options.js';
import type { RaftPeer } from './raft-peer.js';
import { releaseLeadership } from './election/release-leadership.js';
import { replaceMember } from './membership/replace-member.js';
import { runElections } from './election/run-elections.js';
import { stopNode } from './stop-node.js';

/** Creates a Raft node on an opened log; `start` begins its tasks. */
export function createRaftNode(options: RaftOptions) {
  const context = createRaftContext(options);
  const handlers: RaftPeer = {
    requestVote: (request) => handleVote(context, request),
    appendEntries: (request) => handleAppend(context, request),
    installSnapshot: (request) => handleSnapshot(context, request),
    readSender: async () => {
      checkRunning(context);
      return buildSender(context);
    },
  };
  return {
    handlers,
    start: (): void => {
      void runElections(context).catch((error: Error) => stopNode(context, error));
    },
    stop: (): void => {
      releaseLeadership(context);
      context.role = 'stopped';
    },
    /** Stops the node permanently after a disk failure. */
    abort: (error: Error): void => stopNode(context, error),
    propose: (data: string): Promise<CommandResult> => proposeEntry(context, 'command', data),
    confirmLeadership: () => confirmLeadership(context),
    replaceMember: (replacement: Parameters<typeof replaceMember>[1]) =>
      replaceMember(context, replacement),
    applyMembershipChange: (change: MembershipChange) => applyMembershipChange(context, change),
    removeLeavingMember: (diskId: string) => removeLeavingMember(context, diskId),
    listMemberStatuses: () => listMemberStatuses(context),
    readStateAgeMs: () => computeStateAge(context),
    readStatus: () => ({
      id: context.id,
      role: context.role,
      leader: context.leader,
      term: context.log.readHardState().term,
      lastIndex: context.log.memory.readLast().index,
      commitIndex: context.commitIndex,
      appliedIndex: context.appliedIndex,
      diskId: context.log.identity.diskId,
      incarnation: context.log.identity.incarnation,
      members: context.group?.members ?? [],
      /** Number of voters that the group keeps. */
      groupSize: context.group ? readGroupSize(context.group) : 0,
    }),
  };
}
