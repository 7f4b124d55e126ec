import type { Clock, EndpointId } from '@vanillarelay/core';
import { createSlidingCount } from '../limits/create-sliding-count.js';
import type { RouteCounts } from './route-counts.js';
import type { SideCounts } from './side-counts.js';

type SideCounter = ReturnType<typeof createSideCounter>;

interface RouteCounter {
  old: SideCounter;
  new: SideCounter;
  matched: [good: number, bad: number, squares: number];
  endpoints: Map<EndpointId, SideCounter>;
}

interface Answer {
  route: string;
  /** The endpoint, if it is of the new version. */
  newEndpoint?: EndpointId;
  isBad: boolean;
  /** Odds with which a request goes to the new side now. */
  weight: number;
}

/** Routes and endpoints that a report names, at most, which bounds its size. */
const maxRoutes = 16;
const maxEndpoints = 32;
const maxKeptRoutes = 64;

/** Creates a router's counts of the answers to the requests of one roll-out. */
export function createVersionCounts(clock: Pick<Clock, 'monotonic'>, windowMs: number) {
  const routes = new Map<string, RouteCounter>();
  const createCounter = () => createSideCounter(clock, windowMs);

  const findOrAdd = (route: string): RouteCounter | undefined => {
    const known = routes.get(route);
    // The name becomes a key of objects that daemons exchange and check.
    if (known || routes.size >= maxKeptRoutes || route in Object.prototype) return known;
    const added: RouteCounter = {
      ...{ old: createCounter(), new: createCounter() },
      ...{ matched: [0, 0, 0], endpoints: new Map() },
    };
    routes.set(route, added);
    return added;
  };

  return {
    record: ({ route, newEndpoint, isBad, weight }: Answer): void => {
      const counter = findOrAdd(route);
      if (!counter) return;
      if (newEndpoint === undefined) {
        counter.old.add(isBad);
        counter.matched[isBad ? 1 : 0] += weight;
        counter.matched[2] += weight ** 2;
        return;
      }
      counter.new.add(isBad);
      const endpoint = counter.endpoints.get(newEndpoint) ?? createCounter();
      counter.endpoints.set(newEndpoint, endpoint);
      endpoint.add(isBad);
    },
    /**
     * The counts of the routes with most answers. New endpoints are left out as long as no router
     * has a bad answer of them: those that `remote` names have one.
     */
    read: (remote: Readonly<Record<string, RouteCounts>> = {}): Record<string, RouteCounts> => {
      const named = [...routes].map(([route, counter]): [string, RouteCounts] => [
        route,
        buildCounts(counter, remote[route]),
      ]);
      const sorted = named.sort(([, a], [, b]) => countAnswers(b) - countAnswers(a));
      return Object.fromEntries(sorted.slice(0, maxRoutes));
    },
  };
}

function createSideCounter(clock: Pick<Clock, 'monotonic'>, windowMs: number) {
  let good = 0;
  let bad = 0;
  const recentGood = createSlidingCount(clock, windowMs);
  const recentBad = createSlidingCount(clock, windowMs);
  return {
    add: (isBad: boolean): void => {
      if (isBad) bad += 1;
      else good += 1;
      (isBad ? recentBad : recentGood).add();
    },
    countBad: (): number => bad,
    read: (): SideCounts => [good, bad, recentGood.read(), recentBad.read()],
  };
}

function buildCounts(counter: RouteCounter, remote: RouteCounts | undefined): RouteCounts {
  const named = [...counter.endpoints]
    .filter(([id, endpoint]) => endpoint.countBad() > 0 || remote?.endpoints[id] !== undefined)
    .sort(([, a], [, b]) => b.countBad() - a.countBad())
    .slice(0, maxEndpoints);
  return {
    ...{ old: counter.old.read(), new: counter.new.read() },
    matched: [
      toThousandths(counter.matched[0]),
      toThousandths(counter.matched[1]),
      toThousandths(counter.matched[2]),
    ],
    endpoints: Object.fromEntries(named.map(([id, endpoint]) => [id, endpoint.read()])),
  };
}

function countAnswers(counts: RouteCounts): number {
  return counts.old[0] + counts.old[1] + counts.new[0] + counts.new[1];
}

function toThousandths(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}
