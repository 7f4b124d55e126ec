import type { ChangeId } from '../ids/change-id.js';
import type { FleetConfig } from '../state/fleet-config.js';

/** One accepted configuration, as the history keeps it. */
export interface ConfigChange {
  /** Version of the configuration. */
  version: number;
  changeId: ChangeId;
  operator: string;
  config: FleetConfig;
}
