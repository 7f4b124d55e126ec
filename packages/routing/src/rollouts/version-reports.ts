import type { RouteCounts } from './route-counts.js';

/** Counts of answers, by the index that started a roll-out and by the name of a route. */
export type VersionReports = Record<string, Record<string, RouteCounts>>;
