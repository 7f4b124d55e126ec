import { RelayError, ResultCode, type Disk } from '@vanillarelay/core';
import { openLogStore } from './log/open-log-store.js';
import { createRaftNode } from './raft/create-raft-node.js';
import type { RaftOptions } from './raft/raft-options.js';
import type { ReplicatedStore } from './replicated-store.js';
import { createFleetMachine } from './state/create-fleet-machine.js';

interface ReplicatedStoreOptions extends Omit<RaftOptions, 'log' | 'machine'> {
  openDisk: () => Promise<Disk>;
  createDiskId: () => string;
}

/** In characters of JSON; an entry must fit a message of 8 MiB, which escapes its quotes again. */
const maxCommandLength = 2 * 1024 * 1024;

/** Opens the store of one control node from its disk; `start` lets it join its group. */
export async function openReplicatedStore({
  openDisk,
  createDiskId,
  ...options
}: ReplicatedStoreOptions): Promise<ReplicatedStore> {
  const machine = createFleetMachine();
  let abort = options.reportFailure;
  const reportFailure = (error: Error) => abort(error);
  const log = await openLog(openDisk, createDiskId, reportFailure);
  if (log.removalReason) options.timeline.record('log.removed', { reason: log.removalReason });
  const node = createRaftNode({ ...options, log, machine });
  abort = node.abort;
  return {
    propose: async (command) => {
      const data = JSON.stringify(command);
      if (data.length > maxCommandLength) {
        const message = `the command has ${data.length} characters, above the limit of ${maxCommandLength}`;
        throw new RelayError(ResultCode.malformedMessage, message, { notRun: true });
      }
      return node.propose(data);
    },
    readState: machine.readState,
    readStateAgeMs: node.readStateAgeMs,
    observe: machine.observe,
    handlers: node.handlers,
    start: node.start,
    stop: node.stop,
    confirmLeadership: node.confirmLeadership,
    replaceMember: node.replaceMember,
    readStatus: node.readStatus,
  };
}

async function openLog(
  openDisk: () => Promise<Disk>,
  createDiskId: () => string,
  reportFailure: (error: Error) => void,
) {
  try {
    return await openLogStore({ disk: await openDisk(), createDiskId, reportFailure });
  } catch (cause) {
    throw new RelayError(ResultCode.storageFailed, (cause as Error).message, { cause });
  }
}
