import type { Disk } from '@vanillarelay/core';
import { openLogStore } from './log/open-log-store.js';
import { createRaftNode } from './raft/create-raft-node.js';
import type { RaftOptions } from './raft/raft-options.js';
import type { ReplicatedStore } from './replicated-store.js';
import { createFleetMachine } from './state/create-fleet-machine.js';

interface ReplicatedStoreOptions extends Omit<RaftOptions, 'log' | 'machine'> {
  disk: Disk;
  createDiskId: () => string;
}

/** Opens the store of one control node from its disk; `start` lets it join its group. */
export async function openReplicatedStore({
  disk,
  createDiskId,
  ...options
}: ReplicatedStoreOptions): Promise<ReplicatedStore> {
  const machine = createFleetMachine();
  let abort = options.reportFailure;
  const reportFailure = (error: Error) => abort(error);
  const log = await openLogStore({ disk, createDiskId, reportFailure });
  if (log.removalReason) options.timeline.record('log.removed', { reason: log.removalReason });
  const node = createRaftNode({ ...options, log, machine });
  abort = node.abort;
  return {
    propose: (command) => node.propose(JSON.stringify(command)),
    readState: machine.readState,
    readQuorumAgeMs: node.readQuorumAgeMs,
    observe: machine.observe,
    handlers: node.handlers,
    start: node.start,
    stop: node.stop,
    confirmLeadership: node.confirmLeadership,
    replaceMember: node.replaceMember,
    readStatus: node.readStatus,
  };
}
