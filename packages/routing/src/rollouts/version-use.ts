/**
 * How a request may use the endpoints of one side. `preferred`: first. `fallback`: when no preferred
 * endpoint has capacity. `lastResort`: only when no other endpoint is ready and in service, even if
 * the others are full. `excluded`: never.
 */
export type VersionUse = 'preferred' | 'fallback' | 'lastResort' | 'excluded';
