import type { Id } from './id.js';

/** Names a VM. */
export type VmId = Id<'VmId'>;
