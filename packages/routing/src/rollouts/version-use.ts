/**
 * How a request may use the endpoints of one side: first, when no preferred one has capacity, only
 * when no other endpoint accepts requests, or not at all.
 */
export type VersionUse = 'preferred' | 'fallback' | 'lastResort' | 'excluded';
