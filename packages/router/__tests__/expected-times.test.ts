import { afterEach, beforeEach, expect, it } from 'vitest';
import { createMetrics } from '@vanillarelay/router';
import { createRouterFixture } from './create-router-fixture.js';

let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
beforeEach(async () => {
  fixture = await createRouterFixture();
});
afterEach(() => fixture.close());

const addEngine = (id: string, load: string | undefined, prompts: string[] = []): Promise<void> =>
  fixture.addEndpoint(id, (request, response) => {
    prompts.push(String(request.headers['x-parts']));
    response.writeHead(200, {
      ...{ 'x-id': request.headers['x-id'], 'x-signed': '1', 'content-type': 'text/event-stream' },
      ...(load === undefined ? {} : { 'x-load': load }),
    });
    response.end('id: 1\ndata: a\n\n');
  });

const sendChat = async (id: string, parts: string): Promise<string> => {
  const headers = { 'x-id': id, 'x-parts': parts };
  const answer = await fetch(`${fixture.url}/chat/a`, { method: 'POST', headers });
  return answer.text();
};

const listSends = () => fixture.results.flatMap(({ sends }) => sends);

// Guards against services that are placed in a new way although no endpoint reports its work time.
it('expects no times while no endpoint reports how long work takes', async () => {
  await addEngine('e1', '1,0,4');
  await sendChat('r1', 'a,b');
  await sendChat('r2', 'a,c');
  expect(listSends().map((send) => 'expectedMs' in send || 'seenMs' in send)).toEqual([
    ...[false, false],
  ]);
});

// Guards against a switch that is never turned, and times that are not logged.
it('logs expected and seen times once an endpoint has reported how long work takes', async () => {
  await addEngine('e1', '1,0,4,100');
  await sendChat('r1', 'a,b');
  await sendChat('r2', 'a,c');
  const [first, second] = listSends();
  expect([first?.expectedMs, first?.seenMs]).toEqual([undefined, undefined]);
  expect(second).toMatchObject({
    reason: 'home',
    expectedMs: expect.any(Number),
    seenMs: expect.any(Number),
  });
  const metrics = createMetrics();
  fixture.results.forEach((result) => metrics.recordRequest('chat', result, 1));
  expect(metrics.format()).toContain('relay_first_event_ratio_count{route="chat"} 1');
});

// Guards against work that stays in the reports to other routers after its request has ended.
it('reports work only while a prompt is unread', async () => {
  let answer = () => {};
  await addEngine('e1', '1,0,4,100');
  await sendChat('r1', 'a,b');
  const reports: unknown[] = [];
  await fixture.addEndpoint('e2', (request, response) => {
    answer = () => {
      response.writeHead(200, {
        ...{ 'x-id': request.headers['x-id'], 'x-signed': '1' },
        ...{ 'content-type': 'text/event-stream', 'x-load': '1,0,4,100' },
      });
      response.end('id: 1\ndata: a\n\n');
    };
    reports.push(fixture.router.readObservations().work);
    answer();
  });
  fixture.endpoints.remove('e1' as never);
  await sendChat('r2', 'c:9000,d:10');
  reports.push(fixture.router.readObservations().work);
  expect(reports).toEqual([{ e2: expect.any(Number) }, {}]);
});
