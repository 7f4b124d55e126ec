import type { Clock, EventDetails } from '@vanillarelay/core';
import type { createRaftNode } from '../create-raft-node.js';
import { chooseMembershipChange } from './choose-membership-change.js';
import type { MembershipChange } from './membership-change.js';
import type { NodeAddress } from './node-address.js';

interface MembershipOptions {
  clock: Clock;
  node: Pick<
    ReturnType<typeof createRaftNode>,
    'readStatus' | 'listMemberStatuses' | 'applyMembershipChange'
  >;
  /** Lists the live nodes whose disk is known. */
  listNodes: () => NodeAddress[];
  record: (name: string, details: EventDetails) => void;
  signal: AbortSignal;
}

const checkIntervalMs = 300;
/** Time for which a node that could not be added is left out, so that others are added first. */
const retryNodeMs = 1_000;

/** The leader's task that adjusts the membership to the live nodes, one change at a time. */
export async function runMembershipTask(options: MembershipOptions): Promise<void> {
  const { clock, node, listNodes, record, signal } = options;
  /** Monotonic time of the last failure to add a node, by disk. */
  const failedAt = new Map<string, number>();
  const isDue = ({ diskId }: NodeAddress) =>
    clock.monotonic() - (failedAt.get(diskId) ?? -Infinity) >= retryNodeMs;

  const applyChange = async (change: MembershipChange): Promise<void> => {
    const { event, details } = buildChangeEvent(change);
    try {
      await node.applyMembershipChange(change);
      record(event, details);
    } catch (error) {
      if (change.type === 'addLearner') failedAt.set(change.node.diskId, clock.monotonic());
      const reason = (error as Error).message;
      record('control.membershipFailed', { ...details, change: change.type, reason });
    }
  };

  while (!signal.aborted) {
    await clock.wait(checkIntervalMs, signal);
    const { role, groupSize } = node.readStatus();
    if (role !== 'leader' || signal.aborted) continue;
    const members = node.listMemberStatuses();
    const nodes = listNodes().filter(isDue);
    const change = chooseMembershipChange({ members, groupSize, nodes });
    if (change) await applyChange(change);
  }
}

function buildChangeEvent(change: MembershipChange): { event: string; details: EventDetails } {
  switch (change.type) {
    case 'addLearner':
      return { event: 'control.memberAdded', details: { ...change.node } };
    case 'promote': {
      const { diskId, lostDiskId = '' } = change;
      return { event: 'control.memberReplaced', details: { by: diskId, lost: lostDiskId } };
    }
    default:
      return { event: 'control.memberRemoved', details: { diskId: change.diskId } };
  }
}
