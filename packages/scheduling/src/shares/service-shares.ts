import type { createServiceShares } from './create-service-shares.js';

/** This router's shares in the places of services. */
export type ServiceShares = ReturnType<typeof createServiceShares>;
