import { once } from 'node:events';
import { createServer } from 'node:http';
import { sendCall } from './send-call.mjs';
import { heartbeatMs } from './deployment.mjs';

const keepAliveTimeoutMs = 15_000;
const acknowledgedBytes = 4096;

/**
 * Creates the stand-in of a replica. `run(message, response, context)` answers a request that it
 * runs; health checks, requests that are meant for another instance, and heartbeats are handled
 * here, as `PROTOCOL.md` states them.
 */
export function createReplica(options) {
  const { id, service, zone, ip, controls, log, run, slots = 6, coldMs = 0 } = options;
  let port = 0;
  let born = 0;
  let sequence = 0;
  let heartbeatAddress;
  let server;
  let timer;
  let isLeaving = false;
  const sockets = new Set();

  /** Sends a call to the address for heartbeats, then to one daemon after another. */
  const callControl = async (method, body) => {
    const start = Math.floor(Math.random() * controls.length);
    const order = [...controls.slice(start), ...controls.slice(0, start)];
    const addresses = heartbeatAddress ? [heartbeatAddress, ...order] : order;
    for (const address of addresses) {
      const reply = await sendCall({ address, method, path: `/instances/${id}`, body });
      const isAcknowledged = reply.status >= 200 && reply.status < 300;
      if (isAcknowledged && reply.body.length <= acknowledgedBytes) {
        heartbeatAddress = JSON.parse(reply.body || '{}').HeartbeatAddr ?? heartbeatAddress;
        return { at: performance.now(), address };
      }
      heartbeatAddress = undefined;
    }
    return undefined;
  };

  const announce = (State) => {
    sequence += 1;
    const coldLeftMs = Math.max(0, born + coldMs - Date.now());
    return callControl(
      'PUT',
      JSON.stringify({
        ...{ Service: service, Address: `${ip}:${port}`, Zone: zone, Version: 'v1' },
        ...{ Slots: slots, State, ColdRemainingMs: coldLeftMs, Sequence: sequence, born },
      }),
    );
  };

  const handle = (message, response) => {
    const attempt = String(message.headers['attempt-id'] ?? '');
    if (message.url === '/health') {
      message.resume();
      response.writeHead(isLeaving ? 503 : 200, { 'Instance-Id': id }).end();
      return;
    }
    const headers = { 'Attempt-Id': attempt, 'Response-Seal': `seal-${id}-${attempt}` };
    const expected = message.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      message.resume();
      response.writeHead(421, { 'Attempt-Id': attempt, 'Not-Executed': '1' }).end();
      return;
    }
    message.resume();
    message.once('end', () => run(message, response, { headers, attempt, id }));
  };

  const start = async () => {
    born = Date.now();
    sequence = 0;
    isLeaving = false;
    server = createServer({ keepAliveTimeout: keepAliveTimeoutMs }, handle);
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
    });
    server.listen(port, ip);
    await once(server, 'listening');
    port = server.address().port;
    log('replica.started', { id, service, zone, address: `${ip}:${port}`, born });
    const beat = () => {
      void announce('ready');
    };
    beat();
    timer = setInterval(beat, heartbeatMs);
  };

  const end = () => {
    clearInterval(timer);
    server?.close();
    sockets.forEach((socket) => socket.resetAndDestroy());
    server = undefined;
  };

  return {
    ...{ id, zone, start },
    readAddress: () => `${ip}:${port}`,
    /** Ends as a crash does: all connections are reset and nothing is announced. */
    crash: () => {
      log('replica.crashed', { id });
      end();
    },
    /** Leaves with `DELETE`, and goes on serving; resolves with the acknowledgement. */
    leave: async () => {
      clearInterval(timer);
      isLeaving = true;
      const acknowledgement = await callControl('DELETE');
      log('replica.left', { id, acknowledgedBy: acknowledgement?.address });
      return acknowledgement;
    },
    /** Reports `draining`, goes on serving and reporting; resolves with the acknowledgement. */
    drain: async () => {
      clearInterval(timer);
      isLeaving = true;
      const acknowledgement = await announce('draining');
      timer = setInterval(() => {
        void announce('draining');
      }, heartbeatMs);
      return acknowledgement;
    },
    end,
  };
}
