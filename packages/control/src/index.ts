export { createMemoryStore } from './create-memory-store.js';
export { createHub } from './hub/create-hub.js';
export { createMemberTable } from './hub/create-member-table.js';
export type { MemberRecord } from './hub/member-record.js';
export { applyCommand } from './state/apply-command.js';
export { createFleetState } from './state/create-fleet-state.js';
export type { FleetState } from './state/fleet-state.js';
export type { StateStore } from './state-store.js';
