import type { createBacklogView } from './create-backlog-view.js';

/** What endpoints still have to read. */
export type BacklogView = ReturnType<typeof createBacklogView>;
