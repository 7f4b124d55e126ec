import type { ChangeId } from '../ids/change-id.js';
import type { FleetConfig } from '../state/fleet-config.js';

/** An accepted configuration in the history. */
export interface ConfigChange {
  /** Version of the configuration. */
  version: number;
  changeId: ChangeId;
  operator: string;
  config: FleetConfig;
}
