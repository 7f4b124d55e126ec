import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { openEndpoint } from '@vanillarelay/daemon';
import { afterEach, expect, it } from 'vitest';

const chunk = 'x'.repeat(64 * 1024);
const allowedBytes = 16 * 1024 * 1024;
const timeoutMs = 3_000;

let server: Server;
afterEach(() => {
  server.closeAllConnections();
  server.close();
});

// Guards against a health answer without end that fills the memory of the process that reads it.
it('stops reading a health answer that has no end', async () => {
  let sentBytes = 0;
  server = createServer((_, response) => {
    const send = () => {
      while (!response.destroyed && response.write(chunk)) sentBytes += chunk.length;
      sentBytes += chunk.length;
      if (sentBytes > allowedBytes * 4) return;
      response.once('drain', send);
    };
    send();
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const endpoint = openEndpoint(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  const result = await endpoint.readHealth(AbortSignal.timeout(timeoutMs)).then(
    () => 'read',
    () => 'failed',
  );
  expect({ result, isBounded: sentBytes <= allowedBytes }).toEqual({
    ...{ result: 'failed', isBounded: true },
  });
});
