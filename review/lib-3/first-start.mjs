import { call } from './call.mjs';
import { createFleet, wait } from './start-fleet.mjs';

/** Traffic starts 12 s after the machines do. */
export const trafficAtMs = 12_000;
const host = 'permits.example';
const zones = ['zone-a', 'zone-b', 'zone-c'];

export const exitCodes = { held: 0, broken: 1, notRun: 2 };

/** The first configuration of the operator: one route to one plain service, for one tenant. */
export const firstConfig = JSON.stringify({
  Version: 3,
  Routes: [
    {
      ...{ Name: 'lookup', Authority: host, PathPrefix: '/lookup/', Kind: 'idempotent' },
      ...{ TimeoutMs: 1000, SloMs: 200, Priority: 1, Service: 'desk', MaxAttempts: 2 },
      ...{ Public: false, Sticky: false, Resumable: false },
    },
  ],
  Services: [
    {
      ...{ Name: 'desk', HealthPath: '/health', MaxConnections: 260, Protocol: 'h1', Tls: false },
      ...{ ColdS: 0, ColdPerS: 0 },
    },
  ],
  Limits: {
    ...{ MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000 },
    IdleTimeoutMs: 15000,
  },
  Tenants: [{ Name: 'inspectors', ApiKeys: ['k1'], Priority: 1 }],
});

/** Creates a fleet of three zones with two machines each, of which the first has a disk. */
export function createZonedFleet(options) {
  const nodes = zones.flatMap((zone) => [
    { name: `edge-${zone}-1`, zone, hasDisk: true },
    { name: `edge-${zone}-2`, zone, hasDisk: false },
  ]);
  return createFleet({ ...options, nodes });
}

/** Starts one replica of the service in each zone, as a process of its own. */
export function startReplicas(fleet) {
  const controls = fleet.machines.map(fleet.addresses.control);
  zones.forEach((zone, index) =>
    fleet.startReplica({
      ...{ id: `i-${index}`, service: 'desk', zone, controls },
      ip: `${fleet.net}.${100 + index}`,
    }),
  );
}

/**
 * Sends a configuration as the operator does, to one daemon after the other with increasing
 * pauses, until it is acknowledged or the time is up. Resolves with whether it was.
 */
export async function sendConfig({ record, listControls, config = firstConfig, endAt }) {
  for (let tries = 0; Date.now() < endAt; tries += 1) {
    const controls = listControls();
    const address = controls[tries % controls.length];
    const answer = await call({ address, method: 'PUT', path: '/config', body: config });
    record(`operator sends PUT /config to ${address}: ${answer.status || answer.reason}`);
    if (answer.status === 200) return address;
    await wait(Math.min(1_000, 100 * 2 ** Math.min(tries, 4)));
  }
  return undefined;
}

/** Sends a request to each machine in turn until the time is up; resolves with the counts. */
export async function sendTraffic({ record, machines, addresses, endAt }) {
  const counts = { sent: 0, served: 0 };
  for (; Date.now() < endAt; counts.sent += 1) {
    const machine = machines[counts.sent % machines.length];
    const id = `a${counts.sent}`;
    const answer = await call({
      ...{ address: addresses.front(machine), method: 'GET', path: `/lookup/${counts.sent}` },
      headers: { host, 'attempt-id': id, 'deadline-ms': 1000, authorization: 'Bearer k1' },
    });
    const isServed = answer.status === 200 && answer.headers['response-seal'] === `seal.${id}`;
    if (isServed) counts.served += 1;
    record(`client sends ${id} to ${machine.name}: ${answer.status || answer.reason}`);
    await wait(200);
  }
  return counts;
}

/** Runs a case and ends this process with its result, whatever happens. */
export async function runCase(run) {
  const code = await run().catch((error) => {
    console.error(error);
    return exitCodes.notRun;
  });
  process.exit(code);
}
