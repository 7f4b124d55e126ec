import { RelayError, ResultCode } from '@vanillarelay/core';
import type { RaftContext } from '../raft-context.js';
import { writeSnapshot } from '../snapshot/write-snapshot.js';

/** Applies all committed entries and settles their proposals. @internal */
export function applyCommitted(context: RaftContext): void {
  const { log, machine, pending } = context;
  while (context.appliedIndex < context.commitIndex) {
    const entry = log.memory.listFrom(context.appliedIndex + 1, 0)[0];
    if (!entry) break;
    const result = machine.apply(entry);
    context.appliedIndex = entry.index;
    const proposal = pending.get(entry.index);
    pending.delete(entry.index);
    if (proposal?.term === entry.term) proposal.resolve(result);
    else proposal?.reject(new RelayError(ResultCode.noQuorum, 'another leader replaced the entry'));
  }
  writeSnapshot(context).catch(() => {});
}
