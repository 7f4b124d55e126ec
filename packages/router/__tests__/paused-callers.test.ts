import { request, type RequestListener } from 'node:http';
import { afterEach, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

const eventCount = 400;
const buildEvent = (id: number): string => `id: ${id}\ndata: ${'x'.repeat(64 * 1024)}\n\n`;
/** Longer than the time after which an endpoint of the route counts as silent. */
const waitMs = 4_500;

let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
afterEach(() => fixture.close());

// Guards against taking an endpoint for silent, or running a stream twice, while its caller does not
// read.
it('a stream whose caller pauses runs once and arrives whole', async () => {
  fixture = await createRouterFixture();
  let arrivals = 0;
  const answer: RequestListener = (message, response) => {
    arrivals += 1;
    message.resume();
    response.writeHead(200, {
      ...{ 'x-id': 'r1', 'x-signed': '1', 'content-type': 'text/event-stream' },
    });
    const first = Number(message.headers['last-event-id'] ?? 0) + 1;
    for (let next = first; next <= eventCount; next += 1) response.write(buildEvent(next));
    response.end();
  };
  for (const id of ['e1', 'e2']) await fixture.addEndpoint(id, answer);
  const ids: number[] = [];
  const isWhole = await new Promise<boolean>((resolve) => {
    const headers = { 'x-id': 'r1', 'x-deadline': '8000' };
    const call = request(`${fixture.url}/patient/1`, { method: 'POST', headers }, (reply) => {
      setTimeout(() => {
        reply.on('data', (chunk: Buffer) => {
          for (const [, id] of chunk.toString('latin1').matchAll(/id: (\d+)\n/g))
            ids.push(Number(id));
        });
        reply.once('end', () => resolve(true));
      }, waitMs);
      reply.once('error', () => resolve(false));
    });
    call.end('x');
  });
  expect({ arrivals, isWhole, ids: ids.length }).toEqual({
    arrivals: 1,
    isWhole: true,
    ids: eventCount,
  });
}, 20_000);
