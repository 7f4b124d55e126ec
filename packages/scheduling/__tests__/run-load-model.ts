import { createHash, type DaemonId, type EndpointId, type ServiceId } from '@vanillarelay/core';
import { createPlaceLimits } from '../src/shares/create-place-limits.js';
import { createServiceShares } from '../src/shares/create-service-shares.js';
import type { DemandGroup } from '../src/shares/demand-group.js';
import { mergeDemandReports } from '../src/shares/merge-demand-reports.js';
import { computeLatestStart } from '../src/waiting/compute-latest-start.js';
import { computeRetryAfter } from '../src/waiting/compute-retry-after.js';
import { createPlaceRate } from '../src/waiting/create-place-rate.js';
import { createRefusalMemory } from '../src/waiting/create-refusal-memory.js';
import { createUrgentReserve } from '../src/waiting/create-urgent-reserve.js';
import { createWaitingQueue } from '../src/waiting/create-waiting-queue.js';

export interface ModelStream {
  account: string;
  urgency: number;
  /** Requests per second at each router, at a time. */
  ratePerS: (now: number, router: number) => number;
}

export interface ModelOptions {
  /** `queue` is the order of this package; `poll` is a look every 15 ms by each request. */
  policy: 'queue' | 'poll';
  routers: number;
  /** Slots of the endpoints at a time; an endpoint that has left has none. */
  listSlots: (now: number) => number[];
  serviceMs: number;
  streams: ModelStream[];
  /** Whether a router's report and the others' reports are lost at a time. */
  isCut?: (now: number, router: number) => boolean;
  seed: number;
}

interface Request {
  id: number;
  account: string;
  urgency: number;
  work: number;
  arrivedAt: number;
  latestStartAt: number;
  isReturning: boolean;
  deadlineAt: number;
  attempts: number;
  nextLookAt: number;
}

const service = 's' as ServiceId;
const stepMs = 5;
const endMs = 6_000;
const newsMs = 260;
const objectiveMs = 300;
const timeoutMs = 2_000;
const pollMs = 15;

/** Creates a generator of pseudo-random numbers (Lehmer). */
function createRandom(seed: number): () => number {
  const modulus = 2 ** 31 - 1;
  let state = seed % modulus;
  return () => {
    state = (state * 48_271) % modulus;
    return state / modulus;
  };
}

/** Runs several routers and the endpoints of one service in one loop on a virtual clock. */
export async function runLoadModel(options: ModelOptions) {
  const { policy, streams, serviceMs, isCut = () => false } = options;
  const listPlaces = (now: number) => options.listSlots(now).map((slots) => slots * 3);
  const hash = await createHash();
  const random = createRandom(options.seed);
  /** Of its own, so that the same requests arrive whatever the policy draws. */
  const drawArrival = createRandom(options.seed + 1);
  const ids = Array.from({ length: options.routers }, (_, index) => `r${index}` as DaemonId);
  const running: {
    router: number;
    endpoint: number;
    request: Request;
    endAt: number;
  }[] = [];
  /** Times at which the slots of each endpoint are free. */
  const slotTimes = options.listSlots(0).map((slots) => new Array<number>(slots).fill(0));
  const returns: { router: number; request: Request; at: number }[] = [];
  const done = new Map<
    string,
    { arrived: number; served: number; inTime: number; lost: number; refusals: number }
  >();
  const returnTimes: number[] = [];
  let maxOver = 0;
  let nextId = 0;
  const routers = ids.map((self) => ({
    limits: createPlaceLimits({ hash, self, listRouters: () => ids }),
    own: [] as number[],
    remote: [] as number[],
    reported: { loads: [] as number[], demand: {} },
    queue: createWaitingQueue<Request>({ maxLength: 128 }),
    polling: new Set<Request>(),
    rate: createPlaceRate(),
    refusals: createRefusalMemory(),
    reserve: createUrgentReserve(),
    shares: createServiceShares({ random }),
  }));
  const toGroup = ({ urgency, account }: Request): DemandGroup => `${urgency} ${account}`;
  const countOf = ({ urgency, account }: { urgency: number; account: string }) => {
    const key = `${urgency} ${account}`;
    const known = done.get(key) ?? { arrived: 0, served: 0, inTime: 0, lost: 0, refusals: 0 };
    done.set(key, known);
    return known;
  };
  const countWaiting = (index: number) => {
    const counts = new Map<DemandGroup, number>();
    routers[index]!.queue.list().forEach((request) => {
      counts.set(toGroup(request), (counts.get(toGroup(request)) ?? 0) + 1);
    });
    return counts;
  };

  /** The least loaded endpoint that may take a request, in the view of a router. */
  const choose = (now: number, index: number, request: Request): number | undefined => {
    const { own, remote, reserve, shares, limits } = routers[index]!;
    const bounds = listPlaces(now);
    const loads = bounds.map((_, each) => (own[each] ?? 0) + (remote[each] ?? 0));
    const places = bounds.reduce((sum, bound) => sum + bound, 0);
    const free = bounds.reduce((sum, bound, each) => sum + Math.max(0, bound - loads[each]!), 0);
    const isOpen = (each: number): boolean => {
      if (loads[each]! >= bounds[each]!) return false;
      if (policy === 'poll') return true;
      if (free <= reserve.compute(request.urgency, places, now)) return false;
      if (free >= places * 0.5) return true;
      const load = loads.reduce((sum, count) => sum + count, 0);
      const isOutdated = shares.isOutdated(now);
      const waiting = countWaiting(index);
      const group = toGroup(request);
      const use = { places: bounds[each]!, load: loads[each]!, own: own[each] ?? 0 };
      return (
        (isOutdated || shares.mayTake({ service, group, waiting, places, load })) &&
        limits.mayTake({ endpoint: `e${each}` as EndpointId, ...use }, isOutdated)
      );
    };
    const open = bounds.map((_, each) => each).filter(isOpen);
    return open.reduce<number | undefined>(
      (best, each) => (best === undefined || loads[each]! < loads[best]! ? each : best),
      undefined,
    );
  };

  const send = (now: number, index: number, request: Request, endpoint: number): void => {
    const { own, shares } = routers[index]!;
    own[endpoint] = (own[endpoint] ?? 0) + 1;
    shares.start(service, toGroup(request));
    // An endpoint runs what it holds in the order of arrival, one request in each slot.
    const times = slotTimes[endpoint]!;
    const slot = times.indexOf(Math.min(...times));
    const endAt = Math.max(now, times[slot]!) + serviceMs * (0.5 + random());
    times[slot] = endAt;
    running.push({ router: index, endpoint, request, endAt });
    if (endAt <= request.deadlineAt) countOf(request).served += 1;
    if (endAt <= request.arrivedAt + objectiveMs) countOf(request).inTime += 1;
    const held = running.filter((each) => each.endpoint === endpoint).length;
    maxOver = Math.max(maxOver, held - listPlaces(now)[endpoint]!);
  };

  const refuse = (now: number, index: number, request: Request): void => {
    const { queue, refusals, rate } = routers[index]!;
    countOf(request).refusals += 1;
    const leftMs = request.deadlineAt - now;
    const ahead = queue.countAhead(request, now) + refusals.count(now);
    const ms =
      policy === 'queue'
        ? computeRetryAfter({ ahead, placesPerMs: rate.read(now), leftMs, random })
        : timeoutMs * 0.25;
    if (request.attempts >= 2 || ms >= leftMs) {
      countOf(request).lost += 1;
      return;
    }
    refusals.record(String(request.id), request.arrivedAt, ms, now);
    returns.push({ router: index, request, at: now + Math.max(50, ms) });
    returnTimes.push(now + Math.max(50, ms));
  };

  const receive = (now: number, index: number, base: Request): void => {
    const router = routers[index]!;
    const request = { ...base, attempts: base.attempts + 1, nextLookAt: now + pollMs };
    router.reserve.record(request.urgency, now);
    request.isReturning = router.refusals.take(String(request.id), now) !== undefined;
    const placesPerMs = router.rate.read(now);
    const ahead = router.queue.countAhead(request, now);
    const { deadlineAt, urgency } = request;
    const expectedMs = placesPerMs ? (ahead + 1) / placesPerMs : undefined;
    request.latestStartAt =
      policy === 'queue'
        ? computeLatestStart({ now, objectiveMs, deadlineAt, urgency, expectedMs })
        : now + objectiveMs / 2;
    const mayLook = policy === 'poll' || !router.queue.hasBefore(urgency, now);
    const endpoint = mayLook ? choose(now, index, request) : undefined;
    if (endpoint !== undefined) {
      send(now, index, request, endpoint);
      return;
    }
    if (policy === 'poll') {
      router.polling.add(request);
      return;
    }
    const { refusal, removed } = router.queue.admit(request, now, placesPerMs);
    if (removed) refuse(now, index, removed);
    if (refusal) refuse(now, index, request);
  };

  const wake = (now: number, index: number): void => {
    const { queue, polling } = routers[index]!;
    queue.takeExpired(now).forEach((request) => refuse(now, index, request));
    const offer = (request: Request) => {
      const endpoint = choose(now, index, request);
      if (endpoint === undefined) return 'noShare' as const;
      send(now, index, request, endpoint);
      return 'taken' as const;
    };
    while (queue.take(now, offer));
    polling.forEach((request) => {
      if (request.nextLookAt > now) return;
      request.nextLookAt += pollMs;
      if (offer(request) === 'taken') polling.delete(request);
      else if (request.latestStartAt <= now) {
        polling.delete(request);
        refuse(now, index, request);
      }
    });
  };

  const exchange = (now: number, index: number): void => {
    const router = routers[index]!;
    if (isCut(now, index)) return;
    const waiting = countWaiting(index);
    const demand = router.shares.readLocal(new Map([[service, waiting]]));
    router.reported = { loads: [...router.own], demand };
    const others = routers.filter((_, each) => each !== index && !isCut(now, each));
    router.remote = listPlaces(now).map((_, each) =>
      others.reduce((sum, { reported }) => sum + (reported.loads[each] ?? 0), 0),
    );
    router.limits.reset();
    router.shares.updateRemote(
      mergeDemandReports(others.map(({ reported }) => reported.demand)),
      now,
    );
  };

  const receiveArrivals = (now: number, index: number): void => {
    streams.forEach(({ account, urgency, ratePerS }) => {
      if (drawArrival() >= (ratePerS(now, index) * stepMs) / 1_000) return;
      nextId += 1;
      countOf({ account, urgency }).arrived += 1;
      receive(now, index, {
        ...{ id: nextId, account, urgency, work: 1, arrivedAt: now, latestStartAt: now },
        ...{ isReturning: false, deadlineAt: now + timeoutMs, attempts: 0, nextLookAt: 0 },
      });
    });
  };

  for (let now = 0; now < endMs; now += stepMs) {
    for (let at = running.length - 1; at >= 0; at -= 1) {
      const { router, endpoint, request, endAt } = running[at]!;
      if (endAt > now) continue;
      running.splice(at, 1);
      routers[router]!.own[endpoint]! -= 1;
      routers[router]!.shares.stop(service, toGroup(request));
      routers[router]!.rate.record(now);
    }
    routers.forEach((_, index) => {
      const phaseMs = Math.floor((index * newsMs) / options.routers / stepMs) * stepMs;
      if ((now - phaseMs) % newsMs === 0) exchange(now, index);
      wake(now, index);
      receiveArrivals(now, index);
    });
    for (let at = returns.length - 1; at >= 0; at -= 1) {
      const { router, request, at: returnAt } = returns[at]!;
      if (returnAt > now) continue;
      returns.splice(at, 1);
      receive(now, router, request);
    }
  }
  const readShare = (group: string): [inTime: number, answered: number] => {
    const { arrived = 1, served = 0, inTime = 0 } = done.get(group) ?? {};
    return [inTime / arrived, served / arrived];
  };
  const windowMs = 20;
  const windows = new Map<number, number>();
  returnTimes.forEach((at) => {
    const window = Math.floor(at / windowMs);
    windows.set(window, (windows.get(window) ?? 0) + 1);
  });
  const mostTogether = Math.max(0, ...windows.values());
  const served = [...done.values()].reduce((sum, each) => sum + each.served, 0);
  return { readShare, maxOver, mostTogether, returns: returnTimes.length, served, done };
}
