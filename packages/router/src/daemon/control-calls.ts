import type { DataCentreId, EndpointId, ServiceId } from '@vanillarelay/core';
import type { DaemonInfo, OrderSender } from '@vanillarelay/fleet';
import type { EndpointRecord, Rollout } from '@vanillarelay/routing';
import type { OrderResult } from './order-result.js';
import type { RolloutOrder } from './rollout-order.js';

/** Calls that operators and endpoints make to a daemon. */
export interface ControlCalls {
  /** Accepts a configuration once it is durable; throws `invalidConfig` when it is not valid. */
  putConfig(source: string): Promise<void>;
  /** The newest accepted configuration as it was sent; throws when a quorum cannot confirm it. */
  readConfig(): Promise<string>;
  /**
   * Starts the age of a call that is read now from a connection: the longest time, in milliseconds,
   * since it was sent.
   */
  startAge(connection: object): () => number;
  /** The order is not carried out when its sender may have given it up. */
  takeOutDataCentre(id: DataCentreId, sender: OrderSender): Promise<void>;
  bringBackDataCentre(id: DataCentreId, sender: OrderSender): Promise<void>;
  /**
   * Starts a roll-out once the order is durable; a repeated order changes nothing. Throws
   * `unknownService`, or `rolloutConflict` while another version is rolled out. The order is not
   * carried out when its sender may have given it up.
   */
  startRollout(order: RolloutOrder, sender: OrderSender): Promise<void>;
  /** The last roll-out of a service, if any; throws when a quorum cannot confirm it. */
  readRollout(service: ServiceId): Promise<Rollout | undefined>;
  /**
   * Records an endpoint's announcement; resolves when it may be acknowledged. Throws `notReady` when
   * its sender may have given it up.
   */
  announce(record: EndpointRecord, sender: OrderSender): Promise<void>;
  /** Logs why an announcement was refused. */
  reportInvalidAnnouncement(id: string, reason: string): void;
  /** Records that an operator's call came in; the result is reported to the returned function. */
  startOrder(order: string): (result: OrderResult) => void;
  /** Records an endpoint's departure; throws `notReady` when its sender may have given it up. */
  removeEndpoint(id: EndpointId, sender: OrderSender): Promise<void>;
  /** The hub that endpoints of a data centre should announce to from now on. */
  findHub(dataCentre: DataCentreId): DaemonInfo | undefined;
  /** Whether this daemon is ready for new connections from callers. */
  isReady(): boolean;
}
