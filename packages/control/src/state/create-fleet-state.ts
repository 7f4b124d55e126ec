import type { FleetState } from './fleet-state.js';

/** Creates the state before the first command. */
export function createFleetState(): FleetState {
  return {
    daemon: {
      version: 0,
      configVersion: 0,
      config: { dataCentres: {}, services: {}, accounts: {}, concurrentLoads: 1 },
      dataCentresOut: [],
      draining: [],
      marks: [],
      orders: [],
    },
    history: [],
    changes: new Map(),
    records: new Map(),
    tombstones: new Map(),
    incarnations: new Map(),
    crashReports: new Map(),
    permits: new Map(),
    at: 0,
  };
}
