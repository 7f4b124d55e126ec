import {
  hashSha256,
  toId,
  type AccountId,
  type ChangeId,
  type DataCentreId,
  type FleetConfig,
  type ServiceId,
} from '@vanillarelay/core';
import {
  createFleetContext,
  startAgent,
  startMemoryControlNode,
  startEntry,
  type FleetContext,
  type VirtualProcess,
} from '@vanillarelay/scenarios';
import { createFakeEngine, type FakeEngine } from '@vanillarelay/stand-ins';
import type { BenchFleetOptions } from './bench-fleet-options.js';

interface BenchFleet {
  context: FleetContext;
  engines: Map<string, FakeEngine>;
  /** Builds the options of `startAgent` for an agent whose endpoint is a new fake engine. */
  buildAgentOptions: (id: string, dataCentre: DataCentreId) => Parameters<typeof startAgent>[1];
}

const service = toId<ServiceId>('chat');
const defaultDataCentres = [toId<DataCentreId>('one')];
const accountKey = 'bench-account-key';
/** Number of concurrent requests per engine. */
const slots = 64;
const engineSettings = {
  prefillMsPerToken: 0.5,
  tokenMs: 450,
  batchSlowdownMs: 2,
  answerTokens: 4,
};
/** Prefix-cache capacity of an engine, in tokens; about what its chats need on average. */
const cacheTokens = 80_000;
/** Virtual time until agents and entries have received the configuration, in milliseconds. */
const settleMs = 2_000;

/** Creates a fleet of fake engines on the virtual clock; its entries use the given policy. */
export async function createBenchFleet(options: BenchFleetOptions): Promise<BenchFleet> {
  const { dataCentres = defaultDataCentres, startsCold = false, delayMs = 1 } = options;
  const findDataCentre = (index: number) => dataCentres[index % dataCentres.length]!;
  const context = await createFleetContext({ seed: options.seed, delayMs });
  const engines = new Map<string, FakeEngine>();
  startMemoryControlNode(context, 'control-0', findDataCentre(0));
  const buildAgentOptions = (id: string, dataCentre: DataCentreId) => ({
    id,
    service,
    dataCentre,
    slots,
    createEndpoint: ({ clock }: VirtualProcess) => {
      const { random } = context;
      const base = { ...engineSettings, clock, random, startsCold, cacheTokens };
      const engine = createFakeEngine({ ...base, instance: `${id}@${clock.now()}` });
      engines.set(id, engine);
      const run: FakeEngine['run'] = (request, signal) => {
        options.observeStart?.(engine);
        return engine.run(request, signal);
      };
      return { ...engine, run };
    },
  });
  for (let index = 0; index < options.engines; index += 1) {
    startAgent(context, buildAgentOptions(`engine-${index}`, findDataCentre(index)));
  }
  const place = options.policy.createStrategy({ engines, multiple: options.multiple });
  for (let index = 0; index < options.entries; index += 1) {
    startEntry(context, `entry-${index}`, findDataCentre(index), place);
  }
  await applyConfig(context, dataCentres, options.policy.loadMultiple ?? options.multiple);
  await context.virtual.run(settleMs);
  return { context, engines, buildAgentOptions };
}

async function applyConfig(
  context: FleetContext,
  dataCentres: readonly DataCentreId[],
  loadMultiple: number,
): Promise<void> {
  const operator = context.virtual.createProcess('operator');
  const control = context.network.open(operator, () => context.controls.get('control-0'));
  const config: FleetConfig = {
    dataCentres: Object.fromEntries(dataCentres.map((id) => [id, { region: 'one' }])),
    services: {
      [service]: {
        type: 'model',
        loadMultiple,
        coldLimit: 2,
        firstByteMs: 5_000,
        kinds: {
          chat: {
            methods: ['POST'],
            pathPrefix: '/v1/chat/completions',
            idempotent: true,
            mustArrive: false,
            priority: 5,
            deadlineMs: 30_000,
          },
        },
      },
    },
    accounts: {
      [toId<AccountId>('bench')]: {
        keyHashes: [hashSha256(accountKey)],
        requestsPerSecond: 1_000_000,
        services: [service],
      },
    },
    concurrentLoads: 2,
  };
  const command = {
    type: 'applyConfig',
    changeId: toId<ChangeId>('bench'),
    operator: 'bench',
    expectedVersion: 0,
    config,
  } as const;
  await context.virtual.runUntil(control.propose(command, new AbortController().signal));
}
