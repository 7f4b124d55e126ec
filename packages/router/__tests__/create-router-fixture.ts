import { once } from 'node:events';
import { createServer, type IncomingHttpHeaders, type RequestListener } from 'node:http';
import { createServer as createSocketServer, type AddressInfo, type Socket } from 'node:net';
import { createHash, toId, type EndpointId, type RequestId } from '@vanillarelay/core';
import { createSystemClock } from '@vanillarelay/daemon';
import {
  createFrontServer,
  createMemoryBudget,
  createRouter,
  type RequestResult,
  type RouterWire,
} from '@vanillarelay/router';
import {
  createEndpointTable,
  toHostName,
  type EndpointRecord,
  type RolloutBounds,
  type Route,
  type RoutingConfig,
} from '@vanillarelay/routing';

const silenceMs = 60_000;

/** Parses a part like `a` or, with its number of tokens, `a:900`. */
const parsePart = (text: string) => {
  const [id = '', tokens = '1'] = text.split(':');
  return { id, tokens: Number(tokens) };
};

const parseLoad = (text: string) => {
  const [running = 0, waiting = 0, slots = 0, workTimePercent] = text.split(',').map(Number);
  return { running, waiting, slots, ...(workTimePercent === undefined ? {} : { workTimePercent }) };
};

/** A `RouterWire` with its own header names, so that these tests depend on no deployment. */
const wire: RouterWire = {
  parseRequest: ({ rawHeaders }) => {
    const find = (name: string) => {
      const at = rawHeaders.findIndex((header, i) => i % 2 === 0 && header.toLowerCase() === name);
      return at < 0 ? undefined : rawHeaders[at + 1];
    };
    const deadline = find('x-deadline');
    const lastEventId = find('last-event-id');
    const parts = find('x-parts');
    return {
      id: toId<RequestId>(find('x-id') ?? ''),
      promptParts: parts === undefined ? [] : parts.split(',').map(parsePart),
      promptTokens: 0,
      forwardedHeaders: ['x-id', find('x-id') ?? '', 'x-parts', parts ?? '', 'host', 'test'],
      ...(deadline === undefined ? {} : { deadlineMs: Number(deadline) }),
      ...(lastEventId === undefined ? {} : { lastEventId }),
    };
  },
  buildHeaders: ({ forwardedHeaders }, { deadlineMs, endpoint, lastEventId }) => [
    ...forwardedHeaders,
    ...['x-deadline', String(deadlineMs), 'x-endpoint', endpoint],
    ...(lastEventId === undefined ? [] : ['last-event-id', lastEventId]),
  ],
  parseAnswer: (status: number, headers: IncomingHttpHeaders) => ({
    ...(typeof headers['x-id'] === 'string' ? { requestId: headers['x-id'] } : {}),
    isSigned: headers['x-signed'] !== undefined,
    isNotRun: headers['x-not-run'] !== undefined,
    isMisdirected: status === 421,
    isBodyModified: false,
    isLeaving: headers['x-leaving'] !== undefined,
    ...(headers['x-wait-ms'] === undefined ? {} : { wait: Number(headers['x-wait-ms']) }),
    ...(typeof headers['x-load'] === 'string' ? { load: parseLoad(headers['x-load']) } : {}),
    ...(typeof headers['x-limit'] === 'string'
      ? { rateLimitPerS: Number(headers['x-limit']) }
      : {}),
  }),
  parseEvent: ([first, ...others], lastEventId) => {
    const id = String(Number(lastEventId ?? 0) + 1);
    const isNext = first?.name === 'id' && first.value === id && others.length > 0;
    return isNext && others.every(({ name }) => name === 'data')
      ? { id }
      : { fault: `not event ${id}` };
  },
};

const plainRoute: Route = {
  name: 'lookup',
  host: toHostName('127.0.0.1'),
  pathPrefix: '/lookup/',
  repeat: 'idempotent',
  isStream: false,
  isResumable: false,
  hasPrompt: false,
  timeoutMs: 2_000,
  objectiveMs: 200,
  maxPauseMs: 250,
  priority: 0,
  maxEndpoints: 2,
  isPublic: true,
  targets: [{ service: 'desk' as never, weight: 1 }],
};

const routes: Route[] = [
  plainRoute,
  { ...plainRoute, name: 'order', pathPrefix: '/order/', repeat: 'nonIdempotent', maxEndpoints: 1 },
  {
    ...plainRoute,
    ...{ name: 'chat', pathPrefix: '/chat/', repeat: 'nonIdempotent' as const },
    ...{ isStream: true, isResumable: true, hasPrompt: true },
  },
  {
    ...plainRoute,
    ...{ name: 'once', pathPrefix: '/once/', repeat: 'nonIdempotent' as const, maxEndpoints: 1 },
    ...{ isStream: true, timeoutMs: 8_000 },
  },
  {
    ...plainRoute,
    ...{ name: 'slow', pathPrefix: '/slow/', priority: 2 },
    ...{ timeoutMs: 8_000, objectiveMs: 2_000 },
  },
  {
    ...plainRoute,
    ...{ name: 'urgent', pathPrefix: '/urgent/', timeoutMs: 8_000, objectiveMs: 2_000 },
  },
  {
    ...plainRoute,
    ...{ name: 'patient', pathPrefix: '/patient/', repeat: 'nonIdempotent' as const },
    ...{ isStream: true, isResumable: true },
    ...{ timeoutMs: 8_000, objectiveMs: 2_000, maxPauseMs: 1_000 },
  },
];

const config: RoutingConfig = {
  version: 1,
  routes,
  services: [
    {
      id: 'desk' as never,
      healthPath: '/',
      maxConnections: 99,
      coldPeriodMs: 0,
      coldRatePerS: 0,
      canCopyCache: false,
    },
  ],
  accounts: [],
  requiresKey: false,
  bounds: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 65_536,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

/** Starts a router on the loopback interface; a test adds the endpoints. */
export async function createRouterFixture({
  retryExtra = 100,
  memoryBytes = 272 * 1024 * 1024,
  maxBodyBytes = config.bounds.maxBodyBytes,
  stopSignal = new AbortController().signal,
  features = { scheduling: false },
  requiresKey = config.requiresKey,
  isPublic = true,
  isConfigured = true,
  rollouts = undefined as RolloutBounds | undefined,
  readContactAt = undefined as (() => number) | undefined,
  engineMemoryTokens = 0,
} = {}) {
  const clock = createSystemClock();
  const endpoints = createEndpointTable({ clock, silenceMs });
  const results: RequestResult[] = [];
  const events: Record<string, unknown>[] = [];
  const closers: (() => void)[] = [];
  const delays: number[] = [];
  const memory = createMemoryBudget(memoryBytes);
  const router = createRouter({
    ...{ clock, wire, endpoints, memory, features },
    random: () => 0,
    hash: await createHash(),
    self: 'router-1' as never,
    dataCentre: 'lahore' as never,
    listRouters: () => ['router-1' as never],
    recordDelay: (ms) => delays.push(ms),
    record: (event, details) => events.push({ event, ...details }),
    ...{
      retryRatio: 0.2,
      retryWindowMs: 10_000,
      ...{ retryExtra, stopSignal },
      coldMultiplier: 1.5,
      coldSlack: 5,
    },
    ...(rollouts ? { rollouts } : {}),
    readContactAt: readContactAt ?? clock.monotonic,
  });
  const front = createFrontServer({
    ...{ clock, wire, memory, readTable: router.readTable, run: router.run },
    estimateArrival: router.estimateArrival,
    startAge: () => () => 0,
    isClosing: () => false,
    stopSignal,
    canComplete: () => true,
    report: (_, result) => results.push(result),
  });
  /** Brings the configuration into force, as the first state from a hub does. */
  const configure = (): void => {
    router.updateConfig({
      ...{ ...config, requiresKey, bounds: { ...config.bounds, maxBodyBytes } },
      routes: config.routes.map((route) => ({ ...route, isPublic })),
      services: config.services.map((service) => ({
        ...service,
        ...(engineMemoryTokens > 0 ? { engineMemoryTokens } : {}),
      })),
    });
    const table = router.readTable();
    if (table) front.updateTable(table);
  };
  if (isConfigured) configure();
  front.listen(0, '127.0.0.1');
  await once(front, 'listening');
  closers.push(() => {
    front.close();
    front.closeAllConnections();
  });

  const announce = (id: string, port: number, change: Partial<EndpointRecord> = {}): void => {
    endpoints.merge({
      ...{ id: toId<EndpointId>(id), bornAt: 1, sequence: 1, service: 'desk' as never },
      ...{ address: `127.0.0.1:${port}`, dataCentre: 'lahore' as never, slots: 4 },
      ...{ state: 'ready' as const, coldLeftMs: 0, ...change },
    });
  };

  return {
    ...{ clock, router, memory, front, endpoints, results, events, announce, configure, delays },
    url: `http://127.0.0.1:${(front.address() as AddressInfo).port}`,
    /** Adds an endpoint that answers through an HTTP listener. */
    addEndpoint: async (
      id: string,
      listener: RequestListener,
      change: Partial<EndpointRecord> = {},
    ): Promise<void> => {
      const server = createServer(listener).listen(0, '127.0.0.1');
      await once(server, 'listening');
      closers.push(() => {
        server.close();
        server.closeAllConnections();
      });
      announce(id, (server.address() as AddressInfo).port, change);
    },
    /** Adds an endpoint that answers with raw bytes on each connection that sends a request. */
    addRawEndpoint: async (id: string, answer: (socket: Socket) => void): Promise<void> => {
      const server = createSocketServer((socket) => {
        socket.on('error', () => {});
        socket.on('data', () => answer(socket));
      }).listen(0, '127.0.0.1');
      await once(server, 'listening');
      closers.push(() => server.close());
      announce(id, (server.address() as AddressInfo).port);
    },
    close: (): void => closers.forEach((close) => close()),
  };
}
