import { createServer } from 'node:http';
import { call } from './call.mjs';

/**
 * A replica of a plain service: it sends heartbeats, answers its health path, and runs requests. It
 * prints what it runs.
 */
const options = JSON.parse(process.argv[2]);
const { id, service, zone, ip, controls } = options;
const bornAt = Date.now();
let sequence = 0;
let beatTo = 0;
/** Address that the last acknowledgement named for later heartbeats. */
let namedAddress;

const server = createServer((request, response) => {
  const chunks = [];
  request.on('data', (chunk) => chunks.push(chunk));
  request.on('end', () => {
    if (request.url === '/health') {
      response.writeHead(200, { 'Instance-Id': id, 'Content-Length': 0 }).end();
      return;
    }
    const attempt = request.headers['attempt-id'] ?? '';
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'Attempt-Id': attempt, 'Content-Length': 0 }).end();
      return;
    }
    process.stdout.write(`runs ${attempt} ${request.method} ${request.url}\n`);
    const body = `ran ${attempt} at ${id}`;
    const headers = { 'Attempt-Id': attempt, 'Response-Seal': `seal.${attempt}` };
    response.writeHead(200, { ...headers, 'Content-Length': body.length }).end(body);
  });
});

async function beat(address) {
  sequence += 1;
  const body = JSON.stringify({
    ...{ Service: service, Address: address, Zone: zone, Version: 'v1', Slots: 6 },
    ...{ State: 'ready', ColdRemainingMs: 0, Sequence: sequence, born: bornAt },
  });
  for (let tries = 0; tries <= controls.length; tries += 1) {
    const answer = await call({
      address: namedAddress ?? controls[beatTo % controls.length],
      ...{ method: 'PUT', path: `/instances/${id}` },
      ...{ headers: { 'content-type': 'application/json' }, body },
    });
    if (answer.status >= 200 && answer.status < 300) {
      namedAddress = JSON.parse(answer.body).HeartbeatAddr ?? namedAddress;
      return;
    }
    if (namedAddress === undefined) beatTo += 1;
    namedAddress = undefined;
  }
}

server.listen(0, ip, () => {
  const address = `${ip}:${server.address().port}`;
  process.stdout.write(`listens at ${address}\n`);
  const run = () => beat(address).finally(() => setTimeout(run, 1_200));
  void run();
});
