import type { CommandResult } from '@vanillarelay/core';
import type { LogEntry } from '../../log/log-entry.js';
import { computeGroupTime } from '../age/compute-group-time.js';
import { addGroup } from '../membership/add-group.js';
import type { Group } from '../membership/group.js';
import type { RaftContext } from '../raft-context.js';
import { updateCommitIndex } from './update-commit-index.js';
import { updatePeers } from './update-peers.js';
import { wakePeers } from './wake-peers.js';

/** Appends an entry as leader; resolves once applied, rejects when that is uncertain. @internal */
export function appendEntry(
  context: RaftContext,
  { kind, data }: Pick<LogEntry, 'kind' | 'data'>,
): Promise<CommandResult> {
  const { log } = context;
  const { term } = log.readHardState();
  const index = log.memory.readLast().index + 1;
  const at = Math.max(Math.floor(computeGroupTime(context) ?? 0), context.lastTimestamp);
  context.lastTimestamp = at;
  const answer = new Promise<CommandResult>((resolve, reject) => {
    context.pending.set(index, { term, resolve, reject });
  });
  log.append({ term, index, at, kind, data }).then(
    () => {
      if (log.memory.findTerm(index) !== term) return;
      context.durableIndex = Math.max(context.durableIndex, index);
      updateCommitIndex(context);
    },
    // The log writer reports disk failures, which stop the node.
    () => {},
  );
  if (kind === 'group') {
    addGroup(context, { index, group: JSON.parse(data) as Group });
    updatePeers(context);
  }
  wakePeers(context);
  return answer;
}
