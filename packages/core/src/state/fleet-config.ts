import type { AccountId } from '../ids/account-id.js';
import type { DataCentreId } from '../ids/data-centre-id.js';
import type { ServiceId } from '../ids/service-id.js';
import type { AccountConfig } from './account-config.js';
import type { ServiceConfig } from './service-config.js';

/** What operators configure; changed as a whole under a version number. */
export interface FleetConfig {
  dataCentres: Record<DataCentreId, { region: string }>;
  services: Record<ServiceId, ServiceConfig>;
  accounts: Record<AccountId, AccountConfig>;
  /** Weight loads that may run at once over the whole fleet. */
  concurrentLoads: number;
}
