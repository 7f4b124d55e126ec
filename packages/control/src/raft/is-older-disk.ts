import type { DiskMark } from './disk-mark.js';
import type { Sender } from './sender.js';

/** Whether a sender's disk lost something that a message from the same disk told before. */
export function isOlderDisk(mark: DiskMark | undefined, sender: Sender): boolean {
  if (!mark) return false;
  if (sender.incarnation < mark.incarnation) return true;
  if (sender.incarnation > mark.incarnation) return sender.startIndex < mark.commitIndex;
  return mark.startIndex !== undefined && mark.startIndex !== sender.startIndex;
}
