import type { Id } from './id.js';

/** Identifies a VM. */
export type VmId = Id<'VmId'>;
