import { describe, expect, it } from 'vitest';
import type { CallerRequest } from '@vanillarelay/entry';
import { createFixture } from './create-fixture.js';

const completion = (body: object | string, headers = {}): Partial<CallerRequest> => ({
  path: '/v1/chat/completions',
  headers,
  body: Buffer.from(typeof body === 'string' ? body : JSON.stringify(body)),
});
const messages = [{ role: 'user', content: 'How thick?' }];

describe('refusals of the callers API', () => {
  // Guards against invalid requests that crash the entry or run, and refusals without a reason.
  it('contain the code, the reason and that the request has not run', async () => {
    const fixture = await createFixture();
    const cases: Record<string, Partial<CallerRequest>> = {
      'no key': { headers: { authorization: '' } },
      'wrong key': { headers: { authorization: 'Bearer key-2' } },
      'account name as key': { headers: { authorization: 'Bearer inspectors' } },
      'malformed JSON': completion('{"model":'),
      'JSON null': completion('null'),
      'wrong type': completion({ model: 7, messages }),
      'no messages': completion({ model: 'notices' }),
      'empty chat id': completion({ model: 'notices', messages, chat_id: '' }),
      'unknown service': { path: '/services/none/permits' },
      'prototype as service': { path: '/services/constructor/permits' },
      'service not allowed': { path: '/services/closed/x' },
      'unknown kind': { path: '/services/notices/other' },
      'unknown path': { path: '/v2/other' },
      'dot segments': { path: '/services/notices/permits/%2e%2e/notices' },
      'no idempotency key': { path: '/services/notices/notices/1' },
      'bad deadline': { headers: { 'x-deadline-ms': '0' } },
    };
    const lines: string[] = [];
    for (const [name, request] of Object.entries(cases)) {
      const { status, problem } = await fixture.ask(request);
      lines.push(`${name}: ${status} ${problem?.code} ${problem?.notRun} ${problem?.title}`);
    }
    expect(fixture.dispatches).toEqual([]);
    expect(lines.join('\n')).toMatchInlineSnapshot(`
      "no key: 401 1100 true missing or unknown bearer key
      wrong key: 401 1100 true missing or unknown bearer key
      account name as key: 401 1100 true missing or unknown bearer key
      malformed JSON: 400 1000 true body is not valid JSON
      JSON null: 400 1000 true body: Invalid input: expected object, received null, got null
      wrong type: 400 1000 true body.model: Invalid input: expected string, received number, got 7
      no messages: 400 1000 true body.messages: Invalid input: expected array, received undefined, got nothing
      empty chat id: 400 1000 true body.chat_id: Too small: expected string to have >=1 characters, got ""
      unknown service: 404 1004 true no service 'none'
      prototype as service: 403 1101 true account 'inspectors' may not call service 'constructor'
      service not allowed: 403 1101 true account 'inspectors' may not call service 'closed'
      unknown kind: 404 1003 true service 'notices' has no request kind for POST /other
      unknown path: 404 1003 true no path '/v2/other'
      dot segments: 400 1000 true path '/permits/%2e%2e/notices' is not allowed
      no idempotency key: 400 1005 true requests of kind 'notice' need an Idempotency-Key header
      bad deadline: 400 1000 true header x-deadline-ms is '0', expected a whole number of milliseconds above 0"
    `);
  });
});

// Guards against the caller's key, cookies or relay headers reaching an endpoint.
it('sends neither the key of the caller nor headers of the relay to the endpoint', async () => {
  const fixture = await createFixture();
  const headers = { cookie: 'a=b', 'x-relay-request': '{}', accept: 'text/plain', te: 'x' };
  await fixture.ask({ headers });
  expect(fixture.dispatches[0]?.request.headers).toEqual({ accept: 'text/plain' });
});

// Guards against a crash fingerprint that misses the same content sent under another chat.
it('computes a fingerprint without the chat id, and a body hash with method and path', async () => {
  const fixture = await createFixture();
  fixture.updateMembers(() => ({ service: 'reports' as never }));
  await fixture.ask(completion({ model: 'reports', messages, chat_id: 'a' }));
  await fixture.ask(completion({ model: 'reports', messages, chat_id: 'چیٹ' }));
  fixture.updateMembers(() => ({ service: 'notices' as never }));
  await fixture.ask({ path: '/services/notices/permits/1' });
  await fixture.ask({ path: '/services/notices/permits/2' });
  const requests = fixture.dispatches.map(({ request }) => request);
  expect(new Set(requests.map(({ bodyHash }) => bodyHash)).size).toBe(4);
  expect(requests[0]?.fingerprint).toBe(requests[1]?.fingerprint);
  expect(requests[0]?.fingerprint).not.toBe(requests[2]?.fingerprint);
});

// Guards against requests that keep running after their caller has disconnected.
it('cancels the request at the agent when the caller closes the connection', async () => {
  const fixture = await createFixture({ runMs: 5_000 });
  const caller = new AbortController();
  const answer = fixture.send({}, caller.signal).then(fixture.readReply);
  await fixture.virtual.run(100);
  caller.abort();
  expect((await fixture.virtual.runUntil(answer)).problem?.code).toBe(4004);
  expect(fixture.entry.countRunning()).toBe(0);
});

// Guards against a caller that waits longer than it asked for, or extends the kind's deadline.
it('lets the caller shorten the deadline but not extend it', async () => {
  const fixture = await createFixture();
  await fixture.ask({ headers: { 'x-deadline-ms': '700' } });
  await fixture.ask({ headers: { 'x-deadline-ms': '99999' } });
  expect(fixture.dispatches.map(({ request }) => request.remainingMs)).toEqual([700, 10_000]);
});

// Guards against a load balancer that sends callers to an entry that refuses them or is stopping.
it('is ready only with a state and contact with control, and until it is stopped', async () => {
  const { entry, view, link, ask } = await createFixture();
  const readiness = [entry.isReady()];
  const initialView = view.current;
  view.current = { ...initialView, state: undefined };
  readiness.push(entry.isReady());
  view.current = initialView;
  Object.assign(link, { readContact: () => 'isolated' });
  readiness.push(entry.isReady());
  const { problem } = await ask();
  Object.assign(link, { readContact: () => 'leaderless' });
  readiness.push(entry.isReady());
  entry.stop();
  readiness.push(entry.isReady());
  expect(readiness).toEqual([true, false, false, true, false]);
  expect([problem?.code, problem?.notRun]).toEqual([3004, true]);
  expect((await ask()).status).toBe(200);
});
