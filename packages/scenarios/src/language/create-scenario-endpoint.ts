import type { EndpointClient } from '@vanillarelay/core';
import { createFakeEngine, createFakeService } from '@vanillarelay/stand-ins';
import type { VirtualProcess } from '../fakes/virtual-process.js';
import type { World } from './world.js';

/** Creates the endpoint of an agent; each request that starts there is recorded in `world.runs`. */
export function createScenarioEndpoint(
  world: World,
  id: string,
  { clock }: VirtualProcess,
): EndpointClient {
  const { context, processSpecs } = world;
  const { random, virtual } = context;
  const spec = processSpecs.get(id);
  const instance = `${id}@${virtual.clock.monotonic()}`;
  const endpoint = createEndpoint(world, id, { clock, random, instance });
  const run: EndpointClient['run'] = (request, signal) => {
    world.runs.push({
      at: virtual.clock.monotonic(),
      endpoint: id,
      dataCentre: spec?.dataCentre ?? '',
      // The agent prefixes the caller's key with the account.
      key: (request.headers['idempotency-key'] ?? '').replace(/^.*\//, ''),
    });
    return endpoint.run(request, signal);
  };
  return { ...endpoint, run };
}

function createEndpoint(
  world: World,
  id: string,
  base: Parameters<typeof createFakeService>[0],
): EndpointClient {
  if (world.processSpecs.get(id)?.service !== 'reports') {
    return createFakeService({ ...base, answerMs: 100 });
  }
  const engine = createFakeEngine({ ...base, startsCold: true, tokenMs: 40, answerTokens: 10 });
  world.engines.set(id, engine);
  return engine;
}
