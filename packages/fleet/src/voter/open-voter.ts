import {
  createRaftNode,
  runMembershipTask,
  openLogStore,
  type GroupMember,
  type LogStore,
  type RaftPeer,
} from '@vanillarelay/control';
import {
  RelayError,
  ResultCode,
  type Clock,
  type CommandResult,
  type Disk,
  type Random,
  type Timeline,
} from '@vanillarelay/core';
import type { ContentStore } from '../content/content-store.js';
import { checkRolloutProposal } from '../messages/check-rollout-proposal.js';
import type { Founder } from '../messages/founder.js';
import type { IndexReply } from '../messages/index-reply.js';
import type { Proposal } from '../messages/proposal.js';
import type { ProposalReply } from '../messages/proposal-reply.js';
import { createConfigProposals } from '../proposals/create-config-proposals.js';
import { createSharedStateMachine } from '../state/create-shared-state-machine.js';
import { emptySharedState } from '../state/empty-shared-state.js';
import type { LogCommand } from '../state/log-command.js';
import type { SharedState } from '../state/shared-state.js';

interface VoterOptions {
  id: string;
  address: string;
  clock: Clock;
  random: Random;
  timeline: Pick<Timeline, 'record'>;
  openDisk: () => Promise<Disk>;
  createDiskId: () => string;
  /** Size of the log above which a snapshot is taken; has a default. */
  snapshotBytes?: number;
  openPeer: (address: string) => RaftPeer;
  /** Lists the daemons with a disk that are alive now. */
  listNodes: () => { id: string; address: string; diskId: string }[];
  /** Contents that a proposal may refer to. */
  contents: ContentStore;
  /** Called when the shared state or the group has changed. */
  notify: () => void;
}

/** Delay before a failed disk is opened again. */
const reopenDelayMs = 1_000;

type RaftNode = ReturnType<typeof createRaftNode>;

/**
 * Opens a daemon's voter, its node of the replicated log. When the disk fails, the node is
 * discarded with its state in memory and opened again from the disk; the daemon keeps running.
 */
export function openVoter(options: VoterOptions) {
  const { id, address, clock, timeline, notify, snapshotBytes } = options;
  let node: RaftNode | undefined;
  let machine = createSharedStateMachine(notify);
  let founders: Founder[] = [];
  let isStopped = false;
  let isLeaving = false;
  let membershipTask = new AbortController();
  /** Closes the open node; it is opened again unless the voter was stopped. */
  let closeNode = () => {};

  const createNode = (log: LogStore, reportFailure: (error: Error) => void): RaftNode => {
    machine = createSharedStateMachine(notify);
    return createRaftNode({
      ...{ id, address, clock, machine, log, reportFailure, timeline },
      random: options.random,
      openPeer: options.openPeer,
      initialMembers: founders,
      ...(snapshotBytes === undefined ? {} : { snapshotBytes }),
    });
  };

  const runNode = async (disk: Disk): Promise<void> => {
    let reportFailure: (error: Error) => void = () => {};
    const failed = new Promise<Error>((resolve) => {
      reportFailure = resolve;
    });
    const log = await openLogStore({ disk, createDiskId: options.createDiskId, reportFailure });
    if (log.removalReason) timeline.record('log.removed', { reason: log.removalReason });
    const { diskId, incarnation } = log.identity;
    const lastIndex = log.memory.readLast().index;
    timeline.record('control.diskOpened', { diskId, incarnation, lastIndex });
    const opened = createNode(log, reportFailure);
    node = opened;
    membershipTask = new AbortController();
    opened.start();
    notify();
    void runMembershipTask({
      clock,
      node: opened,
      listNodes: options.listNodes,
      record: (name, details) => timeline.record(name, details),
      signal: membershipTask.signal,
    });
    const closed = new Promise<undefined>((resolve) => {
      closeNode = () => resolve(undefined);
    });
    const error = await Promise.race([failed, closed]);
    membershipTask.abort();
    opened.stop();
    node = undefined;
    await log.close();
    if (error) throw error;
  };

  const runOnDisk = async (): Promise<void> => {
    const disk = await options.openDisk();
    try {
      await runNode(disk);
    } finally {
      await disk.close();
    }
  };

  const run = async (): Promise<void> => {
    while (!isStopped) {
      try {
        await runOnDisk();
      } catch (error) {
        timeline.record('control.diskFailed', { reason: (error as Error).message });
        await clock.wait(reopenDelayMs);
      }
    }
  };

  const findNode = (): RaftNode => {
    if (node) return node;
    throw new RelayError(ResultCode.storageFailed, 'the replicated log is not open on this node', {
      notRun: true,
    });
  };

  const readState = (): SharedState => (node ? machine.readState() : emptySharedState);

  const commit = async (command: LogCommand): Promise<CommandResult> => {
    const data = JSON.stringify(command);
    const startedAt = clock.monotonic();
    const buildDetails = () => ({
      command: command.type,
      ...(command.type === 'patchConfig' ? { version: command.version } : {}),
      bytes: data.length,
      ms: Math.round(clock.monotonic() - startedAt),
    });
    try {
      const result = await findNode().propose(data);
      timeline.record('control.committed', buildDetails());
      return result;
    } catch (error) {
      const reason = (error as Error).message;
      timeline.record('control.commitFailed', { ...buildDetails(), reason });
      throw error;
    }
  };

  const configs = createConfigProposals({
    contents: options.contents,
    readState,
    checkLeader: () => {
      const current = findNode();
      if (current.readStatus().role !== 'leader') throw buildNotLeader(current);
    },
    commit,
  });

  const readMembers = (): GroupMember[] => node?.readStatus().members ?? [];

  const isMember = (): boolean => {
    const diskId = node?.readStatus().diskId;
    return readMembers().some((member) => member.diskId === diskId);
  };

  /** Whether the group can do without this node, or a node that catches up may soon replace it. */
  const hasSuccessor = (): boolean => {
    const { members = [], groupSize = 0, diskId } = node?.readStatus() ?? {};
    const voters = members.filter(({ role }) => role === 'voter');
    const isVoter = voters.some((voter) => voter.diskId === diskId);
    return isVoter && (voters.length > groupSize || members.length > voters.length);
  };

  return {
    start: (): void => {
      void run();
    },
    stop: (): void => {
      isStopped = true;
      closeNode();
    },
    handlers: {
      requestVote: async (request, signal) => findNode().handlers.requestVote(request, signal),
      appendEntries: async (request, signal) => findNode().handlers.appendEntries(request, signal),
      installSnapshot: async (request, signal) =>
        findNode().handlers.installSnapshot(request, signal),
      readSender: async (signal) => {
        // The leader asks before it adds a node to the group.
        if (isLeaving) throw buildNotMember();
        return findNode().handlers.readSender(signal);
      },
    } satisfies RaftPeer,
    /** Sets the initial members of the group; has no effect on a node that already has a group. */
    found: (next: Founder[]): void => {
      if (founders.length > 0 || readMembers().length > 0 || !node) return;
      founders = next;
      closeNode();
    },
    propose: async (proposal: Proposal): Promise<ProposalReply> => {
      const { type } = proposal;
      if (type === 'putConfig') return configs.propose(proposal);
      if (type === 'startRollout' || type === 'endRollout') checkRolloutProposal(proposal);
      return { type: 'result', result: await commit(proposal) };
    },
    /** From now on this node is not added to the group again, as its process ends. */
    startLeaving: (): void => {
      isLeaving = true;
    },
    /** Whether this node is about to leave the group, and its process should wait for that. */
    isAwaitingLeave: (): boolean => isLeaving && hasSuccessor(),
    isMember,
    /** Removes the voter of a daemon that stops, as leader. */
    removeLeavingMember: async (diskId: string): Promise<void> => {
      const current = findNode();
      if (current.readStatus().role !== 'leader') throw buildNotLeader(current);
      await current.removeLeavingMember(diskId);
    },
    /** Reads the index of the newest state; only the leader answers. */
    readIndex: async (): Promise<IndexReply> => {
      const current = findNode();
      if (await current.confirmLeadership()) return { index: machine.readState().index };
      throw buildNotLeader(current);
    },
    readState,
    readStateAgeMs: (): number => node?.readStateAgeMs() ?? Infinity,
    readMembers,
    readDiskId: (): string | undefined => node?.readStatus().diskId,
    /** Address of the leader, if known. */
    findLeader: (): string | undefined => {
      const status = node?.readStatus();
      return status?.members.find((member) => member.id === status.leader)?.address;
    },
    readSummary: () => node?.readStatus(),
  };
}

function buildNotLeader(node: RaftNode): RelayError {
  const { leader } = node.readStatus();
  return new RelayError(ResultCode.notLeader, 'this node is not the leader', {
    notRun: true,
    ...(leader === undefined ? {} : { leader }),
  });
}

function buildNotMember(): RelayError {
  return new RelayError(ResultCode.notMember, 'this daemon is stopping', { notRun: true });
}
