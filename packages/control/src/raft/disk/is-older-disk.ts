import type { DiskWatermark } from './disk-watermark.js';
import type { Sender } from './sender.js';

/** Whether a sender's disk lacks state that an earlier message from the same disk reported. */
export function isOlderDisk(watermark: DiskWatermark | undefined, sender: Sender): boolean {
  if (!watermark) return false;
  if (sender.incarnation < watermark.incarnation) return true;
  if (sender.incarnation > watermark.incarnation) return sender.startIndex < watermark.commitIndex;
  return watermark.startIndex !== undefined && watermark.startIndex !== sender.startIndex;
}
