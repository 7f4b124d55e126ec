// ROUTE: when the last tenant is removed, requests with any key run.
import { buildConfig, host, key } from '../lib/build-config.mjs';
import { sendAttempt } from '../lib/client.mjs';
import { bounds, createDeployment } from '../lib/deployment.mjs';
import { createOperator } from '../lib/operator.mjs';
import { createReplica } from '../lib/replica.mjs';
import { runCase } from '../lib/run-case.mjs';
import { wait } from '../lib/wait.mjs';

const zones = ['lahore', 'faisalabad', 'multan'];
const machines = zones.map((zone) => ({ name: `edge-${zone}-1`, zone, hasDisk: true }));
const neverHeld = 'a1b2c3d4e5f6a7b8c9d0';
const rounds = 20;
const workMs = 20;

const buildVersion = (version, tenants) =>
  buildConfig({
    ...{ version, tenants },
    routes: [
      {
        ...{ Name: 'defect-notice', PathPrefix: '/notice/', Kind: 'non_idempotent' },
        ...{ Service: 'desk', MaxAttempts: 1 },
      },
    ],
    services: [{ Name: 'desk' }],
  });
const tenant = { Name: 'hule930', ApiKeys: [key], Priority: 1 };
const withoutKeys = { ...tenant, ApiKeys: [] };

await runCase(import.meta.url, async (log, hasTrouble) => {
  const deployment = await createDeployment({ machines, log });
  const { controls, fronts } = deployment;
  await deployment.startAll();
  const operator = createOperator({ controls, log });
  await operator.send('PUT', '/config', { body: buildVersion(7, [tenant]), forMs: 25_000 });
  await deployment.waitUntilReady();

  const runs = [];
  const replicas = zones.map((zone, index) =>
    createReplica({
      ...{ id: `i-desk-${index}`, service: 'desk', zone, ip: '127.0.0.1', controls, log },
      run: (message, response, { headers, attempt, id }) => {
        runs.push(attempt);
        log('ran', { attempt, replica: id, tenant: message.headers.tenant });
        setTimeout(() => response.writeHead(200, headers).end(attempt), workMs);
      },
    }),
  );
  await Promise.all(replicas.map(({ start }) => start()));
  await wait(bounds.ContactMs);

  /** Sends a request with each key to each front; resolves with the number that ran. */
  const countRuns = async (phase, keyOfCaller) => {
    const attempts = [];
    for (let round = 0; round < rounds; round += 1) {
      const front = fronts[round % fronts.length];
      const path = `/notice/${phase}/${round}`;
      const reply = await sendAttempt({ front, host, key: keyOfCaller, log, path });
      attempts.push(reply.attempt);
    }
    return attempts.filter((attempt) => runs.includes(attempt)).length;
  };
  const before = {
    held: await countRuns('before', key),
    neverHeld: await countRuns('before', neverHeld),
  };
  // Both versions take the only key away: one keeps the tenant without keys, the other removes it.
  const next = buildVersion(8, hasTrouble ? [] : [withoutKeys]);
  await operator.send('PUT', '/config', { body: next });
  await wait(bounds.ConfigMs + 1000);
  const after = {
    dropped: await countRuns('after', key),
    neverHeld: await countRuns('after', neverHeld),
  };
  await deployment.stop();
  if (before.held !== rounds) throw new Error('the requests were not served before the change');
  return { isBroken: after.neverHeld + after.dropped > 0, ranBefore: before, ranAfter: after };
});
