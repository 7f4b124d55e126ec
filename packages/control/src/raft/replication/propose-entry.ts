import { RelayError, ResultCode, withTimeout, type CommandResult } from '@vanillarelay/core';
import { appendEntry } from './append-entry.js';
import { computeQuorumAge } from '../age/compute-quorum-age.js';
import type { RaftContext } from '../raft-context.js';
import { raftTiming } from '../raft-timing.js';

/**
 * Proposes data for the log; resolves once it is applied. A rejection without `notRun` means that
 * the outcome is unknown. @internal
 */
export async function proposeEntry(
  context: RaftContext,
  kind: 'command' | 'group',
  data: string,
): Promise<CommandResult> {
  const { role, leader, clock, failure } = context;
  if (role === 'stopped') {
    throw new RelayError(ResultCode.storageFailed, `this node has stopped: ${failure?.message}`, {
      notRun: true,
    });
  }
  if (role !== 'leader' && leader !== undefined) {
    const options = { notRun: true, leader };
    throw new RelayError(ResultCode.notLeader, `the leader is ${leader}`, options);
  }
  if (role !== 'leader' || computeQuorumAge(context) > raftTiming.electionTimeoutMinMs) {
    throw new RelayError(ResultCode.noQuorum, 'there is no leader', {
      notRun: true,
      retryAfterMs: raftTiming.electionTimeoutMinMs,
    });
  }
  const index = context.log.memory.readLast().index + 1;
  try {
    return await withTimeout(clock, raftTiming.proposalTimeoutMs, () =>
      appendEntry(context, { kind, data }),
    );
  } finally {
    context.pending.delete(index);
  }
}
