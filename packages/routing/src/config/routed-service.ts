import type { ServiceId } from '@vanillarelay/core';

/** A service as routers see it. */
export interface RoutedService {
  id: ServiceId;
  healthPath: string;
  /** Connections that each endpoint accepts from all routers together. */
  maxConnections: number;
  /** How long an endpoint stays cold after its start, in milliseconds. */
  coldPeriodMs: number;
  /** Requests a second that a cold endpoint bears; 0 when it needs no such care. */
  coldRatePerS: number;
  /** Whether its endpoints copy cached prompts from each other. */
  canCopyCache: boolean;
}
