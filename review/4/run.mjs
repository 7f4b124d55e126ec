// BUDGET: a request that crashes its replicas after their first event is never held back.
import { buildConfig, host, key } from '../lib/build-config.mjs';
import { sendAttempt, startTraffic } from '../lib/client.mjs';
import { bounds, createDeployment } from '../lib/deployment.mjs';
import { createOperator } from '../lib/operator.mjs';
import { createReplica } from '../lib/replica.mjs';
import { runCase } from '../lib/run-case.mjs';
import { wait } from '../lib/wait.mjs';

const zones = ['lahore', 'faisalabad', 'multan'];
const machines = zones.map((zone) => ({ name: `edge-${zone}-1`, zone, hasDisk: true }));
const replicaCount = 6;
const eventMs = 25;
const events = 4;
const perS = 20;
const observedMs = 50_000;
const crashingIntervalMs = 2000;
const restartMs = 3000;
/** Retries that the rule allows after the third crash. */
const allowedRetries = 3;
const crashes = 3;

const poison = {
  path: '/summary/poison',
  body: 'the prompt that crashes engines',
  headers: { Model: 'm', 'Token-Usage': '460,40', 'Prompt-Prefix': '5c1e07a2:340,e4402b7d:120' },
};
const buildSound = (index) => ({
  path: '/summary/sound',
  body: `prompt ${index}`,
  headers: {
    ...{ Model: 'm', 'Token-Usage': '460,40' },
    'Prompt-Prefix': `91bd3f06:340,${(index + 4096).toString(16)}:120`,
  },
});

await runCase(import.meta.url, async (log, hasTrouble) => {
  const deployment = await createDeployment({ machines, log });
  const { controls, fronts } = deployment;
  await deployment.startAll();
  const operator = createOperator({ controls, log });
  const config = buildConfig({
    routes: [
      {
        ...{ Name: 'layer-summary', PathPrefix: '/summary/', Kind: 'streaming', Service: 'engine' },
        ...{ TimeoutMs: 3000, SloMs: 600, MaxAttempts: 1, Sticky: true, TargetGapMs: 250 },
      },
    ],
    services: [{ Name: 'engine', MaxConnections: 1300 }],
  });
  await operator.send('PUT', '/config', { body: config, forMs: 25_000 });
  await deployment.waitUntilReady();

  const arrivals = [];
  const streamEvents = (response, { headers, onFirst }) => {
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
    let next = 1;
    const timer = setInterval(() => {
      response.write(`id: ${next}\ndata: piece ${next}\n\n`);
      if (next === 1) onFirst?.();
      next += 1;
      if (next <= events) return;
      clearInterval(timer);
      response.end();
    }, eventMs);
    response.once('close', () => clearInterval(timer));
  };
  const replicas = Array.from({ length: replicaCount }, (_, index) => {
    const replica = createReplica({
      ...{ id: `i-engine-${index}`, service: 'engine', zone: zones[index % zones.length] },
      ...{ ip: '127.0.0.1', controls, log, slots: 128 },
      run: (message, response, { headers, attempt, id }) => {
        const isPoison = message.url === poison.path;
        log('ran', { attempt, replica: id, isPoison });
        if (!isPoison) {
          streamEvents(response, { headers });
          return;
        }
        const arrival = { attempt, at: performance.now(), crashedAt: Infinity };
        arrivals.push(arrival);
        // The request starts to run with its first token, and the replica crashes just after that.
        const crash = () =>
          setTimeout(() => {
            arrival.crashedAt = performance.now();
            replica.crash();
            setTimeout(replica.start, restartMs);
          }, eventMs / 2);
        streamEvents(response, { headers, onFirst: hasTrouble ? crash : undefined });
      },
    });
    return replica;
  });
  await Promise.all(replicas.map(({ start }) => start()));
  await wait(bounds.ContactMs);

  let soundLost = 0;
  const sound = startTraffic(perS, async (index) => {
    const reply = await sendAttempt({
      ...{ front: fronts[index % fronts.length], host, key, log, deadlineMs: 3000 },
      ...buildSound(index),
    });
    if (reply.status !== 200 || !reply.isComplete) soundLost += 1;
  });
  // The caller sends the request again, at another machine each time.
  const caller = startTraffic(1000 / crashingIntervalMs, (index) =>
    sendAttempt({
      ...{ front: fronts[index % fronts.length], host, key, log, deadlineMs: 3000, ...poison },
      note: { isPoison: true },
    }),
  );
  await wait(observedMs);
  await Promise.all([caller.stop(), sound.stop()]);

  const crashTimes = arrivals.map(({ crashedAt }) => crashedAt).sort((a, b) => a - b);
  const bindsFrom = (crashTimes[crashes - 1] ?? Infinity) + bounds.ContactMs;
  const late = arrivals.filter(({ at }) => at > bindsFrom);
  await deployment.stop();
  return {
    isBroken: late.length > allowedRetries,
    retriesAfterThirdCrash: late.length,
    crashes: crashTimes.filter(Number.isFinite).length,
    soundStreamsLost: soundLost,
  };
});
