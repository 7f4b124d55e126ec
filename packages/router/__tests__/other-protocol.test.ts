import { afterEach, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
afterEach(() => fixture.close());

const switchHead = 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n';
const endpointIds = ['e1', 'e2', 'e3', 'e4', 'e5', 'e6'];

// Guards against an answer that no request asked for that counts as a crash, so that the prompt
// with which it came is refused at every endpoint.
it.each([switchHead, `${switchHead}xyz`])('counts %j as no crash', async (bytes) => {
  fixture = await createRouterFixture();
  for (const id of endpointIds) await fixture.addRawEndpoint(id, (socket) => socket.end(bytes));
  const statuses: number[] = [];
  for (let sent = 0; sent < 6; sent += 1) {
    const answer = await fetch(`${fixture.url}/lookup/1`, {
      ...{ method: 'POST', body: 'x' },
      headers: { 'x-id': `r${sent}`, 'x-deadline': '1000' },
    });
    await answer.text();
    statuses.push(answer.status);
  }
  const names = fixture.events.map(({ event }) => event);
  expect([names.includes('request.lost'), names.includes('suspect.blocked'), statuses]).toEqual([
    ...[false, false],
    [502, 502, 502, 502, 502, 502],
  ]);
});
