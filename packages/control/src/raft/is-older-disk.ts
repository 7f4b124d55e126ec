import type { DiskWatermark } from './disk-watermark.js';
import type { Sender } from './sender.js';

/** Whether a sender's disk lacks state that an earlier message from the same disk reported. */
export function isOlderDisk(mark: DiskWatermark | undefined, sender: Sender): boolean {
  if (!mark) return false;
  if (sender.incarnation < mark.incarnation) return true;
  if (sender.incarnation > mark.incarnation) return sender.startIndex < mark.commitIndex;
  return mark.startIndex !== undefined && mark.startIndex !== sender.startIndex;
}
