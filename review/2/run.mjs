// EVAC: a paused daemon carries out an order that the operator has long given up on it.
import { buildConfig, host, key } from '../lib/build-config.mjs';
import { sendAttempt, startTraffic } from '../lib/client.mjs';
import { bounds, createDeployment } from '../lib/deployment.mjs';
import { createOperator } from '../lib/operator.mjs';
import { createReplica } from '../lib/replica.mjs';
import { runCase } from '../lib/run-case.mjs';
import { wait } from '../lib/wait.mjs';

const zones = ['lahore', 'faisalabad', 'multan'];
const evacuated = 'multan';
const freezeMs = 4000;
const workMs = 30;
const perS = 30;
const observedMs = 12_000;

const machines = [
  ...zones.map((zone) => ({ name: `edge-${zone}-1`, zone, hasDisk: true })),
  ...zones.map((zone) => ({ name: `edge-${zone}-2`, zone, hasDisk: false })),
];
const frozen = 'edge-lahore-2';

await runCase(import.meta.url, async (log, hasTrouble) => {
  const deployment = await createDeployment({ machines, log });
  const { controls, fronts, nodes } = deployment;
  await deployment.startAll();
  await deployment.waitUntilReady([]);
  const operator = createOperator({ controls, log });
  const config = buildConfig({
    routes: [
      { Name: 'permit-lookup', PathPrefix: '/permit/', Kind: 'idempotent', Service: 'desk' },
    ],
    services: [{ Name: 'desk' }],
  });
  await operator.send('PUT', '/config', { body: config, forMs: 25_000 });
  await deployment.waitUntilReady();

  const runs = [];
  const replicas = zones.map((zone, index) =>
    createReplica({
      ...{ id: `i-desk-${index}`, service: 'desk', zone, ip: '127.0.0.1', controls, log, slots: 6 },
      run: (message, response, { headers, attempt, id }) => {
        runs.push({ attempt, zone, at: performance.now() });
        log('ran', { attempt, replica: id, zone });
        setTimeout(() => response.writeHead(200, headers).end(attempt), workMs);
      },
    }),
  );
  await Promise.all(replicas.map(({ start }) => start()));
  await wait(2000);

  /** Fronts by attempt. */
  const senders = new Map();
  const traffic = startTraffic(perS, async (index) => {
    const node = nodes[index % nodes.length];
    if (!deployment.isRunning(node.name)) return;
    const front = fronts[index % nodes.length];
    const reply = await sendAttempt({ front, host, key, log, path: `/permit/${index}` });
    senders.set(reply.attempt, node.name);
  });

  const path = `/evacuations/${evacuated}`;
  const frozenControl = controls[nodes.findIndex(({ name }) => name === frozen)];
  await operator.send('POST', path);
  await wait(6000);
  if (hasTrouble) deployment.signal(frozen, 'SIGSTOP');
  const frozenAt = performance.now();
  // The platform's operator may call any daemon first; this order happens to go to the paused one.
  await operator.send('DELETE', path, { first: frozenControl });
  await wait(1000);
  const evacuation = await operator.send('POST', path);
  await wait(frozenAt + freezeMs - performance.now());
  if (hasTrouble) deployment.signal(frozen, 'SIGCONT');
  await wait(evacuation.at + observedMs - performance.now());
  await traffic.stop();

  const bindsFrom = evacuation.at + bounds.EvacuateMs;
  const late = runs.filter(
    ({ attempt, zone, at }) =>
      zone === evacuated && at > bindsFrom && senders.get(attempt) !== frozen,
  );
  await deployment.stop();
  return { isBroken: late.length > 0, lateRequests: late.length, allRequests: runs.length };
});
