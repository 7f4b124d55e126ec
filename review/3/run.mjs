// LOST: around a planned stop, a stream is cut because its replica is silent for a moment.
import { buildConfig, host, key } from '../lib/build-config.mjs';
import { sendAttempt } from '../lib/client.mjs';
import { bounds, createDeployment } from '../lib/deployment.mjs';
import { createOperator } from '../lib/operator.mjs';
import { createReplica } from '../lib/replica.mjs';
import { runCase } from '../lib/run-case.mjs';
import { wait } from '../lib/wait.mjs';

const zones = ['lahore', 'faisalabad', 'multan'];
const machines = zones.map((zone) => ({ name: `edge-${zone}-1`, zone, hasDisk: true }));
const stopped = 'edge-multan-1';
const eventMs = 100;
const events = 12;
/** A request that is preempted in the middle of its stream goes on after this pause. */
const pauseMs = 1400;
const pauseAfter = 3;
const streams = 5;
const deadlineMs = 12_000;
const stopAfterMs = 150;

await runCase(import.meta.url, async (log, hasTrouble) => {
  const deployment = await createDeployment({ machines, log });
  const { controls, fronts, nodes } = deployment;
  await deployment.startAll();
  const operator = createOperator({ controls, log });
  const config = buildConfig({
    routes: [
      {
        ...{ Name: 'photo-walk', PathPrefix: '/walk/', Kind: 'streaming', Service: 'engine' },
        ...{ TimeoutMs: 12_000, SloMs: 800, MaxAttempts: 2, Sticky: true, Resumable: true },
        TargetGapMs: 250,
      },
    ],
    services: [{ Name: 'engine', MaxConnections: 1300 }],
  });
  await operator.send('PUT', '/config', { body: config, forMs: 25_000 });
  await deployment.waitUntilReady();

  const ends = [];
  const replica = createReplica({
    ...{ id: 'i-engine-0', service: 'engine', zone: zones[0], ip: '127.0.0.1', controls, log },
    slots: 128,
    run: async (message, response, { headers, attempt, id }) => {
      log('ran', { attempt, replica: id, lastEventId: message.headers['last-event-id'] });
      let isCut = false;
      response.once('close', () => {
        isCut = !response.writableFinished;
        ends.push({ attempt, isCut });
        log('ended', { attempt, isCut });
      });
      response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
      const first = Number(message.headers['last-event-id'] ?? 0) + 1;
      for (let event = first; event <= events && !isCut; event += 1) {
        response.write(`id: ${event}\ndata: piece ${event}\n\n`);
        await wait(event === pauseAfter && hasTrouble ? pauseMs : eventMs);
      }
      response.end();
    },
  });
  await replica.start();
  await wait(bounds.ContactMs);

  const front = fronts[nodes.findIndex(({ name }) => name === stopped)];
  const headers = { Model: 'm', 'Token-Usage': '713,280' };
  const sent = Array.from({ length: streams }, (_, index) =>
    sendAttempt({
      ...{ front, host, key, log, deadlineMs, path: `/walk/${index}`, body: `prompt ${index}` },
      headers: { ...headers, 'Prompt-Prefix': `91bd3f06:603,${(index + 4096).toString(16)}:110` },
    }),
  );
  await wait(stopAfterMs);
  const restart = hasTrouble ? deployment.restart(stopped, 'SIGTERM') : undefined;
  const replies = await Promise.all(sent);
  await restart;
  const countEvents = ({ body }) => body.split('\n\n').length - 1;
  const whole = replies.filter((reply) => reply.isComplete && countEvents(reply) === events);
  // Excused is only what the replica itself breaks off; here it breaks off nothing.
  const lost = replies.length - whole.length;
  await deployment.stop();
  return { isBroken: lost > 0, streams, lost, cutByRouter: ends.filter((end) => end.isCut).length };
});
