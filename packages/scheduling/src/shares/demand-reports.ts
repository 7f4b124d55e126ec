import type { ServiceId } from '@vanillarelay/core';
import type { DemandCounts } from './demand-counts.js';

/** Demand for the places of services at one or more routers where requests wait. */
export type DemandReports = Record<ServiceId, DemandCounts>;
