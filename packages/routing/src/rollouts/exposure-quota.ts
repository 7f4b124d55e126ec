import type { createExposureQuota } from './create-exposure-quota.js';

/** The requests of one roll-out that one router may send to the new version. */
export type ExposureQuota = ReturnType<typeof createExposureQuota>;
