import type { DataCentreId, EndpointId } from '@vanillarelay/core';
import type { DaemonInfo } from '@vanillarelay/fleet';
import type { EndpointRecord } from '@vanillarelay/routing';

/** What operators and endpoints may ask of a daemon. */
export interface ControlCalls {
  /** Accepts a configuration once it is durable; throws `invalidConfig` when it makes no sense. */
  putConfig(source: string): Promise<void>;
  /** The newest accepted configuration as it was sent; throws when that is not certain. */
  readConfig(): Promise<string>;
  takeOutDataCentre(id: DataCentreId): Promise<void>;
  bringBackDataCentre(id: DataCentreId): Promise<void>;
  /** Takes an endpoint's announcement; resolves when it may be acknowledged. */
  announce(record: EndpointRecord): Promise<void>;
  /** Takes an endpoint's departure. */
  removeEndpoint(id: EndpointId): Promise<void>;
  /** A hub for the later announcements from a data centre. */
  findHub(dataCentre: DataCentreId): DaemonInfo | undefined;
  /** Whether this daemon wants new connections from callers. */
  isReady(): boolean;
}
