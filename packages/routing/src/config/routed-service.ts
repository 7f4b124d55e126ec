import type { ServiceId } from '@vanillarelay/core';

/** The settings of a service that routers use. */
export interface RoutedService {
  id: ServiceId;
  healthPath: string;
  /** Maximum number of connections from all routers together to one endpoint. */
  maxConnections: number;
  /** How long an endpoint stays cold after its start, in milliseconds. */
  coldPeriodMs: number;
  /** Requests per second that a cold endpoint can handle; 0 means no limit. */
  coldRatePerS: number;
  /** Whether its endpoints copy cached prompts from each other. */
  canCopyCache: boolean;
  /** Tokens that the memory of each endpoint holds; absent for services that run no engines. */
  engineMemoryTokens?: number;
}
