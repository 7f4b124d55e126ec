import type { ServiceId } from '@vanillarelay/core';
import { boundDemand } from './bound-demand.js';
import type { DemandCounts } from './demand-counts.js';
import type { DemandGroup } from './demand-group.js';
import type { DemandReports } from './demand-reports.js';
import { splitPlaces } from './split-places.js';

interface ShareRequest {
  service: ServiceId;
  group: DemandGroup;
  /** Requests of the service that wait at this router, by group. */
  waiting: ReadonlyMap<DemandGroup, number>;
  /** Requests that the endpoints of the service may hold. */
  places: number;
  /** Requests in flight at these endpoints over all routers. */
  load: number;
}

/** Time without news after which what other routers reported is no longer used. */
const newsTtlMs = 1_000;
/** Upper bound of the error of a computed share, so that 3 places do not become 2. */
const roundingError = 1e-9;
/** Groups of one service, and services, that a router reports at most. */
const maxGroups = 4;
const maxServices = 4;

/**
 * Creates the shares of this router in the places of services that are full. Every router computes
 * its own from the sum of the demand that the others report.
 */
export function createServiceShares({ random }: { random: () => number }) {
  const running = new Map<ServiceId, Map<DemandGroup, number>>();
  let remote: DemandReports = {};
  let updatedAt: number | undefined;
  /** Rounds shares below one place, so that some of the routers with such a share take one. */
  let draw = 0;

  const findRunning = (service: ServiceId): Map<DemandGroup, number> => {
    const known = running.get(service) ?? new Map<DemandGroup, number>();
    running.set(service, known);
    return known;
  };

  const countOwn = (
    service: ServiceId,
    waiting: ReadonlyMap<DemandGroup, number>,
  ): DemandCounts => {
    const counts: DemandCounts = {};
    waiting.forEach((count, group) => {
      counts[group] = [count, 0];
    });
    findRunning(service).forEach((count, group) => {
      counts[group] = [counts[group]?.[0] ?? 0, count];
    });
    return counts;
  };

  /** Number of requests of a group that this router may have in flight. */
  const computeAllowed = ({ service, group, waiting, places, load }: ShareRequest): number => {
    const own = countOwn(service, waiting);
    const others = remote[service] ?? {};
    const demands = new Map<DemandGroup, number>();
    let reported = 0;
    [own, others].forEach((counts) => {
      Object.entries(counts).forEach(([key, [waits, runs]]) => {
        const name = key as DemandGroup;
        demands.set(name, (demands.get(name) ?? 0) + waits + runs);
        reported += runs;
      });
    });
    const [ownWaiting, ownRunning] = own[group] ?? [0, 0];
    // A request that asks before it waits is part of the demand too.
    const ownDemand = Math.max(1, ownWaiting) + ownRunning;
    if (ownWaiting === 0) demands.set(group, (demands.get(group) ?? 0) + 1);
    // Routers where nothing waits keep the places that they use.
    const contested = places - Math.max(0, load - reported);
    const part = splitPlaces(contested, demands).get(group) ?? 0;
    const share = Math.min(1, ownDemand / Math.max(1, demands.get(group) ?? 0));
    return Math.floor(part * share + draw + roundingError);
  };

  return {
    /** Records that a request was sent. */
    start: (service: ServiceId, group: DemandGroup): void => {
      const counts = findRunning(service);
      counts.set(group, (counts.get(group) ?? 0) + 1);
    },
    /** Records that a request which was sent has ended. */
    stop: (service: ServiceId, group: DemandGroup): void => {
      const counts = findRunning(service);
      const count = (counts.get(group) ?? 0) - 1;
      if (count > 0) counts.set(group, count);
      else counts.delete(group);
    },
    /** Whether this router may have one more request of a group in flight. */
    mayTake: (request: ShareRequest): boolean =>
      (findRunning(request.service).get(request.group) ?? 0) < computeAllowed(request),
    computeAllowed,
    /** Number of requests in flight from this router by service. */
    countRunning: (): Map<ServiceId, number> =>
      new Map(
        [...running].map(([service, counts]) => [
          service,
          [...counts.values()].reduce((sum, count) => sum + count, 0),
        ]),
      ),
    /** Whether the demand at the other routers is not known, so that only a safe part may be used. */
    isOutdated: (now: number): boolean => updatedAt === undefined || now - updatedAt > newsTtlMs,
    /** Demand at this router, for the others: only that of services for which requests wait. */
    readLocal: (
      waiting: ReadonlyMap<ServiceId, ReadonlyMap<DemandGroup, number>>,
    ): DemandReports => {
      const count = (counts: ReadonlyMap<DemandGroup, number>) =>
        [...counts.values()].reduce((total, each) => total + each, 0);
      const services = [...waiting]
        .filter(([, counts]) => counts.size > 0)
        .sort(([, a], [, b]) => count(b) - count(a))
        .slice(0, maxServices);
      return Object.fromEntries(
        services.map(([service, counts]) => [
          service,
          boundDemand(countOwn(service, counts), maxGroups),
        ]),
      );
    },
    /** Replaces the demand at the other routers. */
    updateRemote: (reports: DemandReports, now: number): void => {
      remote = reports;
      updatedAt = now;
      draw = random();
    },
  };
}
