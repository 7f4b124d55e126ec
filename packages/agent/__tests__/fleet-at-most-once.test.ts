import { createHash } from 'node:crypto';
import {
  createFleetContext,
  createSeededRandom,
  startAgent,
  startMemoryControlNode,
  startEntry,
  type FleetContext,
  type VirtualProcess,
} from '@vanillarelay/scenarios';
import { createFakeService, type FakeService } from '@vanillarelay/stand-ins';
import { expect, it } from 'vitest';

const key = 'account-key-0123456789';
const agents = 4;
const maxAttempts = 6;
const order = {
  methods: ['POST'],
  pathPrefix: '/',
  idempotent: false,
  mustArrive: true,
  priority: 5,
  deadlineMs: 8_000,
};
const config = {
  dataCentres: { lahore: { region: 'punjab' } },
  services: {
    app: { type: 'plain', loadMultiple: 2, coldLimit: 8, firstByteMs: 500, kinds: { order } },
  },
  accounts: {
    acc: {
      keyHashes: [createHash('sha256').update(key).digest('hex')],
      requestsPerSecond: 10_000,
      services: ['app'],
    },
  },
  concurrentLoads: 1,
};

/** A control node, agents with plain services, and two entries, configured. */
async function createFleet(seed: number) {
  const context = await createFleetContext({ seed });
  const services: FakeService[] = [];
  const createEndpoint = ({ clock }: VirtualProcess) => {
    const random = createSeededRandom(seed + services.length);
    const instance = `service-${services.length}`;
    const service = createFakeService({ clock, random, instance, answerMs: 30, slowShare: 0.1 });
    services.push(service);
    return service;
  };
  const startOne = (index: number) =>
    startAgent(context, {
      id: `app-${index}`,
      service: 'app' as never,
      dataCentre: 'lahore' as never,
      slots: 8,
      createEndpoint,
    });
  const startEndpoint = (id: string) => {
    const process = context.virtual.createProcess(`${id}-${services.length}`);
    context.endpoints.set(id, { process, handlers: createEndpoint(process) });
  };
  startMemoryControlNode(context, 'control-1', 'lahore' as never);
  for (let index = 0; index < agents; index += 1) startOne(index);
  ['entry-1', 'entry-2'].forEach((id) => startEntry(context, id, 'lahore' as never));
  await context.virtual.run(500);
  const change = { type: 'applyConfig', changeId: 'c', operator: 'o', expectedVersion: 0, config };
  const control = context.controls.get('control-1')!.handlers;
  await context.virtual.runUntil(control.propose(change as never, new AbortController().signal));
  await context.virtual.run(2_000);
  return { context, services, startOne, startEndpoint };
}

/** Sends orders one after another, aborts some, and sends each up to `maxAttempts` times. */
async function runCaller(
  { entries, virtual }: FleetContext,
  caller: number,
  random: () => number,
  seen: { done: string[]; notRun: string[]; isStopped: boolean },
): Promise<void> {
  const send = async (name: string) => {
    const controller = new AbortController();
    if (random() < 0.1) virtual.clock.startTimer(random() * 60, () => controller.abort());
    const entry = entries.get(random() < 0.5 ? 'entry-1' : 'entry-2')!.handlers;
    const headers = { authorization: `Bearer ${key}`, 'idempotency-key': name };
    const request = {
      method: 'POST',
      path: '/services/app/orders',
      headers,
      body: Buffer.from(name),
    };
    const reply = await entry.handle(request, controller.signal);
    let text = '';
    try {
      for await (const chunk of reply.body) text += Buffer.from(chunk).toString();
    } catch {
      return 'unknown';
    }
    if (reply.status === 200) return 'done';
    return (JSON.parse(text) as { notRun: boolean }).notRun ? 'notRun' : 'unknown';
  };
  for (let index = 0; !seen.isStopped; index += 1) {
    const name = `order-${caller}-${index}`;
    let result = '';
    for (let attempt = 0; attempt < maxAttempts && result !== 'done'; attempt += 1) {
      result = await send(name);
      await virtual.clock.wait(300 * random());
    }
    if (result === 'done') seen.done.push(`acc/${name}`);
    if (result === 'notRun') seen.notRun.push(`acc/${name}`);
  }
}

/** Freezes, kills or disconnects a random agent, or kills its endpoint, for some seconds. */
async function applyRandomFault(
  fleet: Awaited<ReturnType<typeof createFleet>>,
  random: () => number,
) {
  const { context, startOne, startEndpoint } = fleet;
  const { network, virtual, endpoints } = context;
  const index = Math.floor(random() * agents);
  const id = `app-${index}`;
  const { process } = context.agents.get(id)!;
  const wait = () => virtual.run(500 + random() * 6_000);
  const fault = Math.floor(random() * 5);
  if (fault === 0) {
    process.freeze();
    await wait();
    process.resume();
  } else if (fault === 1) {
    process.kill();
    endpoints.get(id)!.process.kill();
    await wait();
    startOne(index);
  } else if (fault === 4) {
    endpoints.get(id)!.process.kill();
    await wait();
    startEndpoint(id);
  } else {
    const peer = fault === 2 ? 'control-1' : 'entry-1';
    if (fault === 3) network.startDuplicates('entry-2', id);
    network.cut(id, peer);
    await wait();
    network.clearCut(id, peer);
  }
}

// Guards against orders that run twice, that ran although the caller's last reply said "not run",
// or that were answered without having run, while agents and endpoints freeze, die and lose
// connections and dispatches are delivered twice.
it.each([1, 2, 3])('runs each order at most once under faults, seed %s', async (seed) => {
  const fleet = await createFleet(seed);
  const random = createSeededRandom(seed);
  const seen = { done: [] as string[], notRun: [] as string[], isStopped: false };
  for (let caller = 0; caller < 10; caller += 1) {
    void runCaller(fleet.context, caller, random, seen);
  }
  for (let round = 0; round < 8; round += 1) {
    await fleet.context.virtual.run(1_500);
    await applyRandomFault(fleet, random);
  }
  seen.isStopped = true;
  await fleet.context.virtual.run(60_000);
  const counts = new Map<string, number>();
  fleet.services.forEach((service) =>
    Object.entries(service.listExecutions()).forEach(([name, count]) =>
      counts.set(name, (counts.get(name) ?? 0) + count),
    ),
  );
  expect({
    twice: [...counts].filter(([, count]) => count > 1),
    ranThoughNotRun: seen.notRun.filter((name) => counts.has(name)),
    doneWithoutRun: seen.done.filter((name) => !counts.has(name)),
    hasRunMany: seen.done.length > 200,
  }).toEqual({ twice: [], ranThoughNotRun: [], doneWithoutRun: [], hasRunMany: true });
});
