import { createHash, type EndpointId, type Hash, type ServiceId } from '@vanillarelay/core';
import { chooseEndpoint, type Candidate } from '@vanillarelay/routing';
import { createSeededRandom } from '@vanillarelay/scenarios';
import type { WorkReports, WorkRequest } from '@vanillarelay/scheduling';
import TinyQueue from 'tinyqueue';
import { createWorkPlacement } from '../src/requests/placing/create-work-placement.js';

interface Engine {
  id: EndpointId;
  factor: (now: number) => number;
  held: Set<string>;
  busyUntil: number;
  readTokens: number;
}

interface Event {
  at: number;
  order: number;
  run: () => void;
}

interface Replay {
  /** `cost` places by the expected finish, `load` as services without a fourth figure. */
  by: 'cost' | 'load';
  seed?: number;
  routers?: number;
  engines?: number;
  prompts?: number;
  durationMs?: number;
  requestsPerS?: number;
  objectiveMs?: number;
  newsMs?: number;
  /** How long work takes at an engine, and what it reports of that. */
  readFactor?: (engine: number, now: number) => number;
  reportFactor?: (engine: number, now: number) => number;
  /** Share of requests that use one prompt. */
  hotShare?: number;
  /** Exponent by which few prompts are used more than others; 1 is none. */
  skew?: number;
}

const service = 'chat' as ServiceId;
const tokensPerMs = 49.6;
const stepMs = 5;
const networkMs = 2;
/** Time in which a hub halves the work that it was told of. */
const workHalfLifeMs = 800;
const slots = 64;

/** Replays requests with prompts on a virtual clock against engines that read in order of arrival. */
export async function replayPrompts(options: Replay) {
  const { by, seed = 1, routers: routerCount = 36, engines: engineCount = 31 } = options;
  const { prompts: promptCount = 318, durationMs = 4_000, requestsPerS = 400 } = options;
  const {
    objectiveMs = 500,
    newsMs = 260,
    hotShare = 0,
    skew = 1.6,
    readFactor = () => 1,
  } = options;
  const { reportFactor = readFactor } = options;
  const hash: Hash = await createHash();
  /** Draws the requests; the same seed gives the same requests, however they are placed. */
  const random = createSeededRandom(seed);
  const placementRandom = createSeededRandom(seed + 1);
  let now = 0;
  let order = 0;
  const events = new TinyQueue<Event>([], (a, b) => a.at - b.at || a.order - b.order);
  const schedule = (at: number, run: () => void): void => {
    order += 1;
    events.push({ at, order, run });
  };
  const engines = Array.from({ length: engineCount }, (_, index): Engine => ({
    id: `engine-${index}` as EndpointId,
    factor: (at) => readFactor(index, at),
    ...{ held: new Set<string>(), busyUntil: 0, readTokens: 0 },
  }));
  const byId = new Map(engines.map((engine, index) => [engine.id, { engine, index }]));
  const prompts = Array.from({ length: promptCount }, (_, index) => ({
    system: { id: `system-${index % 12}`, tokens: 400 },
    document: { id: `document-${index}`, tokens: Math.round(300 + 17_300 * random() ** 2.5) },
  }));
  const pickPrompt = () => {
    const isHot = random() < hotShare;
    return prompts[isHot ? 0 : Math.floor(random() ** skew * promptCount)] as (typeof prompts)[0];
  };
  const routers = Array.from({ length: routerCount }, () => ({
    own: new Map<EndpointId, number>(),
    others: new Map<EndpointId, number>(),
    reported: { loads: new Map<EndpointId, number>(), work: {}, at: 0 },
    placement: createWorkPlacement({
      clock: { monotonic: () => now, now: () => now },
      ...{ random: placementRandom, hash, dataCentre: 'lahore' as never },
      endpoints: {
        find: (id) =>
          ({ firstSeenAt: -1, record: { id, bornAt: 0, dataCentre: 'lahore' } }) as never,
      },
      countRouters: () => routerCount,
    }),
  }));
  type Router = (typeof routers)[0];
  const readLoad = ({ own, others }: Router, id: EndpointId) =>
    (own.get(id) ?? 0) + (others.get(id) ?? 0);

  const seen: number[] = [];
  const reasons: Record<string, number> = {};
  const sends: { prompt: string; id: EndpointId; at: number }[] = [];

  const place = (router: Router, work: WorkRequest, affinityKey: string) => {
    const open = engines.map(({ id }): Candidate => ({
      ...{ id, dataCentre: 'lahore' as never, slots, load: readLoad(router, id) },
    }));
    const meanLoad = open.reduce((sum, { load }) => sum + load, 0) / open.length;
    const request = { affinityKey, meanLoad, tried: new Set<EndpointId>() };
    return by === 'cost' && router.placement.isEnabled(service)
      ? router.placement.choose(
          open,
          { ...request, objectiveLeftMs: objectiveMs, triedDataCentres: new Set() },
          work,
        )
      : chooseEndpoint(open, request, {
          hash,
          random: placementRandom,
          dataCentre: 'lahore' as never,
        });
  };

  const arrive = (sequence: number): void => {
    const router = routers[Math.floor(random() * routerCount)] as Router;
    const { system, document } = pickPrompt();
    const streamDraw = random();
    const own = { id: `own-${sequence}`, tokens: Math.round(40 + 160 * random()) };
    const promptParts = [system, document, own];
    const promptTokens = promptParts.reduce((sum, { tokens }) => sum + tokens, 0);
    const work: WorkRequest = { service, route: 'chat', promptParts, promptTokens };
    const choice = place(router, work, document.id);
    if (!choice) throw new Error('no endpoint was chosen');
    const { engine, index } = byId.get(choice.id) as { engine: Engine; index: number };
    reasons[choice.reason] = (reasons[choice.reason] ?? 0) + 1;
    sends.push({ prompt: document.id, id: engine.id, at: now });
    const running =
      'expectation' in choice
        ? router.placement.startWork(choice.id, choice.expectation, document.id)
        : undefined;
    router.own.set(engine.id, (router.own.get(engine.id) ?? 0) + 1);
    const sentAt = now;
    const streamMs = 600 + 1_200 * streamDraw;
    schedule(now + networkMs, () => {
      const firstUnread = promptParts.findIndex(({ id }) => !engine.held.has(id));
      const unread = promptParts.slice(firstUnread).reduce((sum, { tokens }) => sum + tokens, 0);
      promptParts.forEach(({ id }) => engine.held.add(id));
      engine.readTokens += unread;
      const startsAt = Math.max(now, engine.busyUntil);
      engine.busyUntil = startsAt + (unread / tokensPerMs) * engine.factor(startsAt);
      schedule(engine.busyUntil + stepMs * engine.factor(now) + networkMs, () => {
        seen.push(now - sentAt);
        running?.recordFirstEvent();
        const workTimePercent = Math.round(100 * reportFactor(index, now));
        if (by === 'cost')
          router.placement.recordLoad(service, engine.id, {
            ...{ running: 0, waiting: 0, slots, workTimePercent },
          });
        schedule(now + streamMs, () => {
          running?.recordEnd(false, 60);
          router.own.set(engine.id, (router.own.get(engine.id) ?? 0) - 1);
        });
      });
    });
  };

  const sendNews = (receiver: Router): void => {
    const { placement, own } = receiver;
    receiver.reported = { loads: new Map(own), work: placement.readLocal(), at: now };
    receiver.others.clear();
    const work: WorkReports = {};
    routers
      .filter((router) => router !== receiver)
      .forEach(({ reported }) => {
        reported.loads.forEach((count, id) =>
          receiver.others.set(id, (receiver.others.get(id) ?? 0) + count),
        );
        Object.entries<number>(reported.work).forEach(([key, ms]) => {
          const id = key as EndpointId;
          work[id] = (work[id] ?? 0) + ms * 0.5 ** ((now - reported.at) / workHalfLifeMs);
        });
      });
    receiver.placement.updateRemote(work);
    schedule(now + newsMs, () => sendNews(receiver));
  };

  routers.forEach((router) => {
    if (Number.isFinite(newsMs)) schedule(newsMs * placementRandom(), () => sendNews(router));
  });
  const scheduleArrival = (sequence: number): void =>
    schedule(now - (Math.log(1 - random()) / requestsPerS) * 1_000, () => {
      arrive(sequence);
      scheduleArrival(sequence + 1);
    });
  scheduleArrival(0);
  for (let event = events.pop(); event && event.at < durationMs; event = events.pop()) {
    now = event.at;
    event.run();
  }
  return {
    requests: seen.length,
    missed: seen.filter((ms) => ms > objectiveMs).length,
    readTokens: engines.reduce((sum, { readTokens }) => sum + readTokens, 0),
    ...{ reasons, sends },
  };
}
