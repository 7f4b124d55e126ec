import type { DaemonId, DataCentreId, EndpointId, Hash, ServiceId } from '@vanillarelay/core';
import {
  createHealthTracker,
  createRolloutTraffic,
  mergeVersionReports,
  type KnownRollout,
  type Rollout,
  type RolloutTraffic,
  type VersionReports,
} from '@vanillarelay/routing';

export type RolloutKind =
  | 'good'
  | 'badAtOnce'
  | 'badLater'
  | 'badUnderLoad'
  | 'badOnRoute'
  | 'slow'
  | 'zoneFails'
  | 'oneBadEndpoint';

interface Disturbances {
  /** Chance that an exchange is lost, and that a router knows only some of the others. */
  lossRate: number;
  /** Chance of each router to restart, and to be frozen, once within a roll-out. */
  restartRate: number;
  freezeRate: number;
}

interface SimulationOptions extends Disturbances {
  hash: Hash;
  random: () => number;
  kind: RolloutKind;
  routerCount: number;
  requestsPerS: number;
  durationMs: number;
  /** Time that is simulated, which may go on beyond the deadline. */
  totalMs: number;
  exposeShare: number;
  exposeSlack: number;
}

interface SimulatedRouter {
  traffic: RolloutTraffic;
  contactAt: number;
  frozenUntil: number;
  nextExchangeAt: number;
}

interface Endpoint {
  id: EndpointId;
  dataCentre: DataCentreId;
}

const service = 'desk' as ServiceId;
const startIndex = 7;
const hubCount = 3;
const exchangeMs = 260;
const rowTtlMs = 2_500;
const usualMs = 120;
const orderAt = 1_500;
const zones = ['north', 'south', 'east'] as DataCentreId[];
const routes = [
  { name: 'chat', share: 0.6 },
  { name: 'lookup', share: 0.3 },
  { name: 'order', share: 0.1 },
];
const chatCount = 400;
const maxMessageMs = 60;
const commitMs = 40;
const msPerS = 1_000;
/** Time for which placement uses the same list of failing endpoints. */
const failingMs = 50;
/** Time for which a roll-out is played on after its end. */
const newsMs = 500;
/** Share of the running requests from which the new side counts as loaded. */
const loadedShare = 0.4;

/**
 * Plays one roll-out at several routers on a virtual clock; a tick is a millisecond. Exchanges with the
 * hub are delayed and lost, routers restart and freeze, and placement leaves out failing endpoints.
 */
export function simulateRollout(options: SimulationOptions) {
  const { hash, random, kind, routerCount, durationMs, exposeShare, exposeSlack } = options;
  let now = 0;
  const ticks = new Map<number, (() => void)[]>();
  const callAt = (at: number, call: () => void): void => {
    const tick = Math.max(now + 1, Math.ceil(at));
    const calls = ticks.get(tick) ?? [];
    ticks.set(tick, calls);
    calls.push(call);
  };
  const draw = (low: number, high: number): number => low + random() * (high - low);
  const names = Array.from({ length: routerCount }, (_, index) => `router-${index}` as DaemonId);
  const createEndpoints = (version: string, count: number): Endpoint[] =>
    Array.from({ length: count }, (_, index) => ({
      id: `${version}-${index}` as EndpointId,
      dataCentre: zones[index % zones.length] as DataCentreId,
    }));
  const oldEndpoints = createEndpoints('v1', 3 + Math.floor(random() * 4));
  const isSingle = kind !== 'zoneFails' && kind !== 'oneBadEndpoint' && random() < 0.1;
  const newEndpoints = createEndpoints('v2', isSingle ? 1 : 3 + Math.floor(random() * 4));

  const baseBadShare = draw(0, 0.03);
  const faultShare = draw(kind === 'badOnRoute' || kind === 'badUnderLoad' ? 0.3 : 0.2, 1);
  const faultFrom = kind === 'badLater' ? orderAt + durationMs * draw(0.2, 0.75) : 0;
  const faultRoute = routes[Math.floor(random() * routes.length)]?.name;
  const zoneFailsAt = orderAt + durationMs * draw(0.1, 0.8);
  const slowFactor = draw(4, 8);
  let newRunning = 0;
  let running = 0;

  const hasFault = (endpoint: Endpoint, isNew: boolean, route: string): boolean => {
    if (kind === 'zoneFails') return now >= zoneFailsAt && endpoint.dataCentre === 'north';
    if (!isNew) return false;
    if (kind === 'oneBadEndpoint') return endpoint === newEndpoints[0] && random() < faultShare;
    if (kind === 'badUnderLoad') return newRunning > loadedShare * running && random() < faultShare;
    if (kind === 'badOnRoute') return route === faultRoute && random() < faultShare;
    return kind !== 'good' && now >= faultFrom && random() < faultShare;
  };

  const rollout: Rollout = {
    ...{ to: 'v2', durationMs, state: 'inProgress', startIndex, lastIndex: startIndex },
    startedAt: 0,
  };
  let state: Rollout | undefined;
  const counted = { requests: 0, sent: 0, bad: 0, worstExcess: -Infinity };
  const badTimes: number[] = [];
  let detectedAt: number | undefined;
  let endedAt: number | undefined;
  let lastSentAt = 0;
  let sentAfterEnd = 0;

  const health = createHealthTracker({ monotonic: () => now });
  const allIds = [...oldEndpoints, ...newEndpoints].map(({ id }) => id);
  let failing: ReadonlySet<EndpointId> = new Set();
  let failingUntil = 0;
  const rows = new Map<DaemonId, { reports: VersionReports; at: number }>();
  const routers = new Map<DaemonId, SimulatedRouter>();

  const startRouter = (self: DaemonId): void => {
    const router: SimulatedRouter = {
      ...{ contactAt: -Infinity, frozenUntil: 0, nextExchangeAt: now + draw(0, exchangeMs) },
      traffic: createRolloutTraffic({
        ...{ clock: { monotonic: () => now }, hash },
        bounds: { exposeShare, exposeSlack },
        readContactAt: () => routers.get(self)?.contactAt ?? -Infinity,
        listEndpoints: () => newEndpoints,
        notifyStep: () => {},
        notifyVerdict: (_, __, { outcome }) => {
          if (outcome === 'rolledBack') detectedAt ??= now;
        },
      }),
    };
    routers.set(self, router);
  };
  names.forEach(startRouter);

  const readRemote = (self: DaemonId): VersionReports =>
    mergeVersionReports(
      [...rows]
        .filter(([name, { at }]) => name !== self && now - at <= rowTtlMs)
        .map(([, { reports }]) => reports),
    );

  const exchange = (self: DaemonId, router: SimulatedRouter): void => {
    if (random() < options.lossRate) return;
    const reports = JSON.parse(JSON.stringify(router.traffic.readLocal())) as VersionReports;
    callAt(now + draw(2, maxMessageMs), () => {
      rows.set(self, { reports, at: now });
      const remote = readRemote(self);
      const known: KnownRollout[] = state
        ? [{ service, rollout: state, ageMs: now - orderAt }]
        : [];
      callAt(now + draw(2, maxMessageMs), () => {
        if (routers.get(self) !== router || router.frozenUntil > now) return;
        router.contactAt = now;
        router.traffic.updateRemote(remote);
        router.traffic.updateRollouts(known);
      });
    });
  };

  const propose = (router: SimulatedRouter): void => {
    const isOldEmpty = () => running === newRunning;
    router.traffic.listProposals(isOldEmpty).forEach(({ outcome }) =>
      callAt(now + commitMs, () => {
        if (state?.state !== 'inProgress') return;
        state = { ...state, state: outcome, lastIndex: startIndex + 1 };
        endedAt = now;
      }),
    );
  };

  const receiveRequest = (): void => {
    const self = names[Math.floor(random() * names.length)] as DaemonId;
    const pick = random();
    const route = pick < 0.6 ? 'chat' : (routes[pick < 0.9 ? 1 : 2]?.name ?? '');
    const key =
      route === 'chat' ? `chat-${Math.floor(random() * chatCount)}` : `request-${random()}`;
    const arrive = (): void => {
      const router = routers.get(self);
      if (!router) return;
      if (router.frozenUntil > now) {
        callAt(router.frozenUntil + 1, arrive);
        return;
      }
      if (state) counted.requests += 1;
      router.traffic.recordRequest(service);
      send(self, route, key, false);
    };
    arrive();
  };

  /** Leaves out failing endpoints as placement does, now and then with a wrong choice. */
  const selectHealthy = (among: Endpoint[]): Endpoint[] => {
    if (now >= failingUntil) {
      failing = health.listFailing(allIds);
      failingUntil = now + failingMs;
    }
    const healthy = among.filter(({ id }) => !failing.has(id));
    return healthy.length === 0 || random() < 0.1 ? among : healthy;
  };

  const send = (self: DaemonId, route: string, key: string, isRetry: boolean): void => {
    const router = routers.get(self);
    if (!router) return;
    const sides = router.traffic.chooseSides(service, key, isRetry);
    const isNew = sides?.onTo === 'preferred';
    const among = selectHealthy(isNew ? newEndpoints : oldEndpoints);
    const endpoint = among[Math.floor(random() * among.length)] as Endpoint;
    const version = isNew ? 'v2' : 'v1';
    router.traffic.recordSend(service, version);
    running += 1;
    if (isNew) {
      newRunning += 1;
      counted.sent += 1;
      lastSentAt = now;
      if (state?.state === 'rolledBack') sentAfterEnd += 1;
      const excess = counted.sent - exposeShare * counted.requests - exposeSlack;
      if (state?.state === 'inProgress')
        counted.worstExcess = Math.max(counted.worstExcess, excess);
    }
    const hasFailed = hasFault(endpoint, isNew, route);
    const isSlow = hasFailed && kind === 'slow';
    const ms = usualMs * Math.exp(draw(-0.6, 0.6)) * (isSlow ? slowFactor : 1);
    const isBad = (hasFailed && !isSlow) || random() < baseBadShare;
    callAt(now + ms, () => {
      running -= 1;
      if (isBad) health.recordFailure(endpoint.id);
      else health.recordSuccess(endpoint.id);
      if (isNew) {
        newRunning -= 1;
        if (isBad || isSlow) badTimes.push(now);
      }
      if (routers.get(self) !== router) return;
      router.traffic.recordOutcome({
        ...{ service, route, endpoint: endpoint.id, version, isBad },
        ...(isBad ? {} : { ms }),
      });
      if (isBad && !isRetry) send(self, route, key, true);
    });
  };

  names.forEach((self) => {
    const disturbedAt = orderAt + draw(0, durationMs);
    if (random() < options.restartRate)
      callAt(disturbedAt, () => {
        startRouter(self);
      });
    if (random() < options.freezeRate)
      callAt(disturbedAt, () => {
        const router = routers.get(self);
        if (router) router.frozenUntil = now + draw(300, 3_000);
      });
  });
  callAt(orderAt, () => {
    state = rollout;
  });

  let nextArrivalAt = 1;
  const runTick = (): void => {
    ticks.get(now)?.forEach((call) => call());
    ticks.delete(now);
    while (nextArrivalAt <= now) {
      receiveRequest();
      nextArrivalAt += (-Math.log(1 - random()) * msPerS) / options.requestsPerS;
    }
    routers.forEach((router, self) => {
      if (router.nextExchangeAt > now || router.frozenUntil > now) return;
      router.nextExchangeAt = now + exchangeMs;
      exchange(self, router);
      if (names.indexOf(self) < hubCount && router.contactAt > now - msPerS) propose(router);
    });
  };
  for (; now < options.totalMs && now <= (endedAt ?? Infinity) + newsMs; now += 1) runTick();
  return {
    outcome: state?.state,
    endedMs: endedAt === undefined ? undefined : endedAt - orderAt,
    detectedMs: detectedAt === undefined ? undefined : detectedAt - orderAt,
    /** Bad answers that had come a given time before the first verdict. */
    countBadBefore: (ms: number) =>
      badTimes.filter((at) => at <= (detectedAt ?? Infinity) - ms).length,
    ...counted,
    ...{ lastSentAt, sentAfterEnd },
  };
}
