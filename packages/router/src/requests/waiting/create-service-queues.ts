import type { Clock, ServiceId } from '@vanillarelay/core';
import type { DemandGroup } from '@vanillarelay/scheduling';
import { buildWaitGauges } from './build-wait-gauges.js';
import { createServiceQueue } from './create-service-queue.js';
import type { ServiceQueue } from './service-queue.js';

interface ServiceQueuesOptions {
  clock: Pick<Clock, 'monotonic' | 'startTimer'>;
  /** Resolves when a request may be sent. */
  waitForTurn: () => Promise<void>;
}

/** Creates the queues of the requests that wait at this router, one for each service. */
export function createServiceQueues(options: ServiceQueuesOptions) {
  const { clock } = options;
  const queues = new Map<ServiceId, ServiceQueue>();

  return {
    find: (service: ServiceId): ServiceQueue => {
      const known = queues.get(service) ?? createServiceQueue(options);
      queues.set(service, known);
      return known;
    },
    /** Offers places to the waiting requests of all services after news of the endpoints. */
    wakeAll: (): void => queues.forEach((queue) => queue.wake()),
    /** Number of waiting requests by service, urgency and account. */
    countGroups: (): Map<ServiceId, ReadonlyMap<DemandGroup, number>> =>
      new Map([...queues].map(([service, queue]) => [service, queue.countGroups()])),
    /** Gauges of the waiting requests by service and urgency, and counts of what was decided. */
    readGauges: (): Record<string, number> => {
      const now = clock.monotonic();
      return Object.assign(
        {},
        ...[...queues].map(([service, queue]) => buildWaitGauges(service, queue, now)),
      ) as Record<string, number>;
    },
  };
}
