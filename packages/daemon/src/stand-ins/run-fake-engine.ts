import { createFakeEngine, type FakeEngineOptions } from '@vanillarelay/stand-ins';
import { createSystemClock } from '../platform/create-system-clock.js';
import { serveEndpoint } from './serve-endpoint.js';

type EngineProcessOptions = Partial<Omit<FakeEngineOptions, 'clock' | 'random' | 'instance'>>;

/** Runs a fake engine as a process until SIGTERM or SIGINT. */
export async function runFakeEngine(
  address: string,
  options: EngineProcessOptions = {},
): Promise<void> {
  const clock = createSystemClock();
  const engine = createFakeEngine({
    ...options,
    clock,
    random: Math.random,
    instance: `${address}@${clock.now()}`,
  });
  await serveEndpoint(address, engine, {
    crash: engine.crash,
    freeze: engine.freeze,
    resume: engine.resume,
    cold: engine.resetWarmUp,
    stats: engine.readStats,
    orders: engine.listOrders,
    'cache-events': () => engine.listCacheEvents(0),
  });
}
