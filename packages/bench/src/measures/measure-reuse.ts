import type { FakeEngine } from '@vanillarelay/stand-ins';
import { startTraffic } from '../load/start-traffic.js';
import { chatTraffic } from './chat-traffic.js';
import { createBenchFleet } from './create-bench-fleet.js';
import { createChatSender } from './create-chat-sender.js';
import { createSkewSampler } from './create-skew-sampler.js';
import type { ReuseOptions } from './reuse-options.js';
import type { ReuseResult } from './reuse-result.js';

const chatsPerEngine = 40;

/** Measures cache reuse and load skew of one policy while engines crash one after another. */
export async function measureReuse(options: ReuseOptions): Promise<ReuseResult> {
  let observeStart: (engine: FakeEngine) => void = () => {};
  const { context, engines } = await createBenchFleet({
    ...options,
    observeStart: (engine) => observeStart(engine),
  });
  const { virtual, random } = context;
  const { clock } = virtual;
  const stop = new AbortController();
  const sender = createChatSender(context);
  const chats = chatsPerEngine * options.engines;
  void startTraffic({ ...chatTraffic, clock, random, chats, send: sender.send }, stop.signal);
  await virtual.run(options.warmUpMs);
  const sampler = createSkewSampler(clock, engines, options.multiple);
  observeStart = sampler.recordStart;
  sender.start();
  void sampler.run(stop.signal);
  let next = 0;
  for (let elapsed = 0; elapsed < options.durationMs; elapsed += options.churnMs) {
    [...engines.values()][next % engines.size]?.crash();
    next += 1;
    await virtual.run(Math.min(options.churnMs, options.durationMs - elapsed));
  }
  const result = buildResult(options, sender.readTotals(), sampler.statistics);
  stop.abort();
  // Lets the aborted traffic and sampler end.
  await virtual.run(0);
  return result;
}

function buildResult(
  { policy, engines, multiple }: ReuseOptions,
  totals: ReturnType<ReturnType<typeof createChatSender>['readTotals']>,
  statistics: ReturnType<typeof createSkewSampler>['statistics'],
): ReuseResult {
  return {
    policy: policy.name,
    engines,
    multiple,
    requests: totals.requests,
    refused: totals.refused,
    codes: totals.codes,
    broken: totals.broken,
    reuse: totals.cachedTokens / Math.max(1, totals.promptTokens),
    meanLoad: statistics.mean / statistics.samples,
    skewMean: statistics.skew / statistics.samples,
    skewWorst: statistics.worst,
    worstExcess: statistics.excess,
    startExcess: statistics.startExcess,
    firstByteP50: totals.firstByte.getValueAtPercentile(50),
    firstByteP95: totals.firstByte.getValueAtPercentile(95),
    firstByteP99: totals.firstByte.getValueAtPercentile(99),
  };
}
