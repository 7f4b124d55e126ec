import type { AccountId } from '../ids/account-id.js';
import type { DataCentreId } from '../ids/data-centre-id.js';
import type { ServiceId } from '../ids/service-id.js';
import type { AccountConfig } from './account-config.js';
import type { ServiceConfig } from './service-config.js';

/** The configuration that operators set; replaced completely, with a new version number. */
export interface FleetConfig {
  dataCentres: Record<DataCentreId, { region: string }>;
  services: Record<ServiceId, ServiceConfig>;
  accounts: Record<AccountId, AccountConfig>;
  /** Number of weight loads that may run at once in the fleet. */
  concurrentLoads: number;
}
