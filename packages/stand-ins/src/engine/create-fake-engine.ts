import { RelayError, ResultCode, type EndpointRequest, type EngineOrder } from '@vanillarelay/core';
import { buildJsonAnswer } from '../http/build-json-answer.js';
import { countTokens } from './count-tokens.js';
import { createBatch } from './create-batch.js';
import { createCacheEvents } from './create-cache-events.js';
import { createCompletion } from './create-completion.js';
import { createLaggedValue } from './create-lagged-value.js';
import { createOrderLog } from './create-order-log.js';
import { createPauseGate } from './create-pause-gate.js';
import { createPrefixCache } from './create-prefix-cache.js';
import { createWarmUp } from './create-warm-up.js';
import type { FakeEngineOptions } from './fake-engine-options.js';
import type { FakeEngineStats } from './fake-engine-stats.js';
import type { FakeEngine } from './fake-engine.js';
import { parseChatBody } from './parse-chat-body.js';

const serviceUnavailable = 503;
const coldRetrySeconds = 1;

/**
 * Creates a fake engine, which simulates continuous batching, a limited prefix cache, cold starts,
 * crashes, and orders to load weights or change its role.
 */
export function createFakeEngine(options: FakeEngineOptions): FakeEngine {
  const { clock, random, instance, coldLimit = 2, restartMs = 1_000, loadMs = 1_000 } = options;
  const stats = createStats();
  const reportedLoad = createLaggedValue(clock, options.loadLagMs ?? 0);
  const events = createCacheEvents({
    clock,
    random,
    delayMs: options.cacheEventDelayMs ?? 500,
    loss: options.cacheEventLoss ?? 0.05,
  });
  const cache = createPrefixCache({
    capacityTokens: options.cacheTokens ?? 20_000,
    report: events.record,
  });
  const warmUp = createWarmUp({
    clock,
    startsCold: options.startsCold ?? false,
    warmUpMs: options.warmUpMs ?? 2_000,
    warmUpRequests: options.warmUpRequests ?? 4,
  });
  const batch = createBatch({
    size: options.batchSize ?? 256,
    observe: (requests) => {
      reportedLoad.update(requests);
      stats.running = requests;
      stats.highestRunning = Math.max(stats.highestRunning, requests);
    },
  });
  const pauseGate = createPauseGate(clock);
  let isDown = false;
  let crashController = new AbortController();

  const crash = (): void => {
    if (isDown) return;
    isDown = true;
    stats.crashes += 1;
    crashController.abort();
    cache.clear();
    clock.startTimer(restartMs, () => {
      isDown = false;
      crashController = new AbortController();
      warmUp.reset();
    });
  };

  const completion = createCompletion({
    options,
    batch,
    cache,
    pauseGate,
    warmUp,
    stats,
    crash,
    readCrashSignal: () => crashController.signal,
  });

  const checkIsUp = (): void => {
    if (!isDown) return;
    throw new RelayError(ResultCode.connectionFailed, 'engine refused the connection', {
      notRun: true,
    });
  };

  const run = async (request: EndpointRequest, signal: AbortSignal) => {
    checkIsUp();
    await pauseGate.waitUntilRunning();
    const body = parseChatBody(request.body);
    if (!body) return buildJsonAnswer(400, { error: { message: 'not a chat completion request' } });
    if (warmUp.isCold() && stats.running >= coldLimit) {
      stats.coldFailures += 1;
      const answer = buildJsonAnswer(serviceUnavailable, { error: { message: 'engine is cold' } });
      return {
        ...answer,
        headers: { ...answer.headers, 'retry-after': String(coldRetrySeconds) },
      };
    }
    return completion.run(body, request.headers, signal);
  };

  const runOrder = async ({ action, target }: EngineOrder): Promise<void> => {
    if (action === 'changeRole') {
      stats.role = target;
      return;
    }
    await (options.loadWeights ? options.loadWeights(target) : clock.wait(loadMs));
    if (action !== 'loadModel') return;
    stats.model = target;
    cache.clear();
    warmUp.reset();
  };
  const orders = createOrderLog({ fencing: options.fencing ?? 'checked', run: runOrder });

  return {
    run,
    readHealth: async () => {
      checkIsUp();
      await pauseGate.waitUntilRunning();
      const suffix = stats.crashes > 0 ? `#${stats.crashes}` : '';
      return {
        instance: `${instance}${suffix}`,
        cold: warmUp.isCold(),
        running: reportedLoad.read(),
      };
    },
    sendOrder: async (order) => {
      checkIsUp();
      await pauseGate.waitUntilRunning();
      await orders.receive(order);
    },
    exportCache: async (chat) => {
      checkIsUp();
      const text = cache.find(chat);
      return text === undefined ? undefined : Buffer.from(text);
    },
    importCache: async (chat, bytes) => {
      checkIsUp();
      cache.write(chat, Buffer.from(bytes).toString('utf8'));
    },
    crash,
    freeze: pauseGate.freeze,
    resume: pauseGate.resume,
    resetWarmUp: warmUp.reset,
    listCacheEvents: events.list,
    listOrders: orders.list,
    readStats: () => ({ ...stats }),
    isUp: () => !isDown,
    countCached: (chat) => countTokens(cache.find(chat) ?? ''),
  };
}

function createStats(): FakeEngineStats {
  return {
    started: 0,
    completed: 0,
    cancelled: 0,
    coldFailures: 0,
    crashes: 0,
    promptTokens: 0,
    cachedTokens: 0,
    running: 0,
    highestRunning: 0,
    model: '',
    role: '',
  };
}
