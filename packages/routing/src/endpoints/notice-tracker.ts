import type { createNoticeTracker } from './create-notice-tracker.js';

/** A router’s record of what endpoints said in their answers. */
export type NoticeTracker = ReturnType<typeof createNoticeTracker>;
