import { once } from 'node:events';
import { createServer } from 'node:http';
import { call } from './call.mjs';

const heartbeatMs = 1_200;

/**
 * Starts a sound replica, whose requests `serve` answers once it is certain that they are for it. It
 * names itself to the daemons that serve the control plane, one after the other, and later to the
 * address that an answer named.
 */
export async function startReplica({ id, service, zone, slots = 6, daemons, port, serve }) {
  const born = Date.now();
  let sequence = 0;
  let named;
  let next = 0;
  const server = createServer((message, response) => {
    const attempt = message.headers['attempt-id'] ?? '';
    response.setHeader('attempt-id', attempt);
    if (message.headers['expect-instance'] === id) serve({ attempt, message, response });
    else response.writeHead(421, { 'not-executed': '1' }).end();
  }).listen(0, '127.0.7.9');
  await once(server, 'listening');
  const beat = async () => {
    sequence += 1;
    const target = named ?? `${daemons[next % daemons.length].ip}:${port}`;
    next += 1;
    const [host, controlPort] = target.split(':');
    const answer = await call(host, Number(controlPort), {
      method: 'PUT',
      path: `/instances/${id}`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        ...{ Service: service, Address: `127.0.7.9:${server.address().port}`, Zone: zone },
        ...{ Version: 'v1', Slots: slots, State: 'ready', ColdRemainingMs: 0 },
        ...{ Sequence: sequence, born },
      }),
    });
    const isAcknowledged = answer.status >= 200 && answer.status < 300;
    named = isAcknowledged ? JSON.parse(answer.body).HeartbeatAddr : undefined;
  };
  const timer = setInterval(beat, heartbeatMs);
  beat();
  return {
    close: () => {
      clearInterval(timer);
      server.close();
      server.closeAllConnections();
    },
  };
}
