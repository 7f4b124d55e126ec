import type { LogEntry } from '../../log/log-entry.js';
import type { EntryPart } from './entry-part.js';
import type { RaftContext } from '../raft-context.js';

/** Stores a part of a large entry; returns the entry once it is complete. @internal */
export function receiveEntryPart(context: RaftContext, part: EntryPart): LogEntry | undefined {
  const { offset, totalLength, data, ...head } = part;
  const { incomingEntry } = context;
  const isSame = incomingEntry?.index === head.index && incomingEntry.term === head.term;
  const received = isSame ? incomingEntry.data : '';
  const entry: LogEntry = {
    ...head,
    data: offset === received.length ? received + data : received,
  };
  const isComplete = entry.data.length === totalLength;
  context.incomingEntry = isComplete ? undefined : entry;
  return isComplete ? entry : undefined;
}
