import type { RequestListener, ServerResponse } from 'node:http';
import { ResultCode, type ServiceId } from '@vanillarelay/core';
import { afterEach, describe, expect, it } from 'vitest';
import { buildContentSuspect } from '../src/requests/crashes/build-content-suspect.js';
import type { RoutedRequest } from '../src/requests/routed-request.js';
import { createRouterFixture } from './create-router-fixture.js';

const desk = 'desk' as ServiceId;
let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
afterEach(() => fixture.close());

/** Requests that the endpoint of a test holds at most: 4 slots, 3 for each. */
const places = 12;

/** Adds an endpoint that holds its requests until the test answers them. */
async function addHoldingEndpoint(id = 'e1') {
  const held: { path: string; response: ServerResponse }[] = [];
  const arrivals: string[] = [];
  const hold: RequestListener = (message, response) => {
    const path = message.url ?? '';
    message.resume();
    arrivals.push(path);
    held.push({ path, response });
  };
  await fixture.addEndpoint(id, hold);
  const answerNext = (): void => {
    const next = held.shift();
    next?.response.writeHead(200, { 'x-signed': '1', 'x-id': 'r1' });
    next?.response.end('ok');
  };
  return { arrivals, held, answerNext };
}

const send = async (path: string, signal?: AbortSignal, headers = {}) => {
  const answer = await fetch(`${fixture.url}${path}`, {
    method: 'POST',
    headers: { 'x-id': 'r1', ...headers },
    body: path,
    ...(signal ? { signal } : {}),
  });
  await answer.text();
  const retryAfterMs = Number(answer.headers.get('retry-after') ?? 0) * 1_000;
  return { status: answer.status, retryAfterMs };
};

/** Looks for a condition that must come true; the number of looks is bounded. */
const waitUntil = async (condition: () => boolean): Promise<void> => {
  for (let looks = 0; looks < 2_000 && !condition(); looks += 1) await fixture.clock.wait(2);
  expect(condition()).toBe(true);
};

const readWaiting = (): number =>
  Object.entries(fixture.router.readWaitGauges())
    .filter(([name]) => name.startsWith('relay_waiting{'))
    .reduce((sum, [, count]) => sum + count, 0);

/** Fills the endpoint; returns what it holds. */
async function startFull() {
  fixture = await createRouterFixture({ features: { scheduling: true } });
  const endpoint = await addHoldingEndpoint();
  const answers = Array.from({ length: places }, (_, index) => send(`/slow/${index}`));
  await waitUntil(() => endpoint.arrivals.length === places);
  return { ...endpoint, answers };
}

describe('requests that find no place', () => {
  // Guards against places that go to whichever request looks first: with a poll, the last one here.
  it('are served by urgency when places become free', async () => {
    const { arrivals, held, answerNext, answers } = await startFull();
    answers.push(send('/slow/background/a'));
    await waitUntil(() => readWaiting() === 1);
    answers.push(send('/slow/plain/b'));
    await waitUntil(() => readWaiting() === 2);
    answers.push(send('/urgent/c'));
    await waitUntil(() => readWaiting() === 3);
    answerNext();
    await waitUntil(() => arrivals.length === places + 1);
    // The last place is kept for urgent requests, one of which has just come in.
    answerNext();
    await fixture.clock.wait(60);
    expect(arrivals.length).toBe(places + 1);
    for (let count = 2; count <= 3; count += 1) {
      answerNext();
      await waitUntil(() => arrivals.length === places + count);
    }
    const order = arrivals.slice(places);
    while (held.length > 0) answerNext();
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    expect([order, new Set(statuses)]).toEqual([
      ['/urgent/c', '/slow/background/a', '/slow/plain/b'],
      new Set([200]),
    ]);
  });

  // Guards against more requests at an endpoint than it may hold when several are woken together.
  it('never exceed the bound of an endpoint', async () => {
    const { arrivals, held, answerNext, answers } = await startFull();
    answers.push(...Array.from({ length: 6 }, (_, index) => send(`/slow/w${index}`)));
    await waitUntil(() => readWaiting() === 6);
    fixture.router.updateObservations(fixture.router.readObservations());
    fixture.router.updateObservations({
      ...fixture.router.readObservations(),
      ...{ loads: {}, demand: {} },
    });
    answerNext();
    answerNext();
    await waitUntil(() => arrivals.length === places + 2);
    await fixture.clock.wait(60);
    expect([held.length, arrivals.length]).toEqual([places, places + 2]);
    while (readWaiting() > 0 || held.length > 0) {
      answerNext();
      await fixture.clock.wait(2);
    }
    await Promise.all(answers);
  });

  // Guards against a refusal that is not true, and against callers that return at one instant.
  it('are refused as not run at the end of their wait, with a time to return', async () => {
    const { arrivals, held, answerNext, answers } = await startFull();
    const refused = await send('/slow/x');
    const { refusal, waits } = fixture.results.at(-1) ?? {};
    const gauges = fixture.router.readWaitGauges();
    while (held.length > 0) answerNext();
    await Promise.all(answers);
    expect(gauges['relay_wait_refusals_total{service="desk",rule="waitOver"}']).toBe(1);
    expect([refused.status, refusal?.code, refusal?.notRun, arrivals.length, waits]).toEqual([
      ...[503, ResultCode.endpointBusy, true, places, [{ urgency: 2, ahead: 0 }]],
    ]);
    expect(refused.retryAfterMs).toBeGreaterThan(50);
    expect(refused.retryAfterMs).toBeLessThanOrEqual(1_000);
  });

  // Guards against bytes that are sent while nothing waits, and against demand that others miss.
  it('are reported to the other routers only while they wait', async () => {
    const { held, answerNext, answers } = await startFull();
    const before = fixture.router.readObservations();
    answers.push(send('/slow/x'));
    await waitUntil(() => readWaiting() === 1);
    const { demand } = fixture.router.readObservations();
    while (held.length > 0 || readWaiting() > 0) {
      answerNext();
      await fixture.clock.wait(2);
    }
    await Promise.all(answers);
    const after = fixture.router.readObservations();
    expect(demand).toEqual({ desk: { '2 ': [1, places] } });
    expect([Object.keys(before), Object.keys(after)].flat()).not.toContain('demand');
  });

  // Guards against a router that takes a place which is part of another router's share.
  it('leave places to other routers with as much demand', async () => {
    const { arrivals, held, answerNext, answers } = await startFull();
    fixture.router.updateObservations({
      ...{ ...fixture.router.readObservations(), loads: {} },
      demand: { [desk]: { '2 ': [places, 0] } },
    });
    answers.push(send('/slow/x'));
    await waitUntil(() => readWaiting() === 1);
    answerNext();
    await fixture.clock.wait(60);
    const isHeld = readWaiting() === 1 && arrivals.length === places;
    while (held.length > 0 || readWaiting() > 0) {
      answerNext();
      await fixture.clock.wait(2);
    }
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    expect([isHeld, new Set(statuses)]).toEqual([true, new Set([200])]);
  });

  // Guards against requests that wait until another one ends although an endpoint has joined.
  it('are sent to an endpoint that appears', async () => {
    const { held, answerNext, answers } = await startFull();
    const gauges = fixture.router.readWaitGauges();
    answers.push(send('/slow/x'));
    await waitUntil(() => readWaiting() === 1);
    const next = await addHoldingEndpoint('e2');
    await waitUntil(() => next.arrivals.length === 1);
    next.answerNext();
    while (held.length > 0) answerNext();
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    const used = gauges['relay_places_used{service="desk"}'];
    expect([next.arrivals, new Set(statuses), used]).toEqual([['/slow/x'], new Set([200]), places]);
  });

  // Guards against callers that were refused and find newcomers before them when they come back.
  it('keep their place when they come back after a refusal', async () => {
    const { arrivals, held, answerNext, answers } = await startFull();
    await send('/slow/back');
    answers.push(send('/slow/new'));
    await waitUntil(() => readWaiting() === 1);
    answers.push(send('/slow/back'));
    await waitUntil(() => readWaiting() === 2);
    answerNext();
    await waitUntil(() => arrivals.length === places + 1);
    const first = arrivals.at(-1);
    while (held.length > 0 || readWaiting() > 0) {
      answerNext();
      await fixture.clock.wait(2);
    }
    await Promise.all(answers);
    expect(first).toBe('/slow/back');
  });

  // Guards against a place that is given to a caller who has left.
  it('leave the queue when their caller leaves', async () => {
    const { arrivals, held, answerNext, answers } = await startFull();
    const leaving = new AbortController();
    const left = send('/slow/left', leaving.signal).catch(() => undefined);
    await waitUntil(() => readWaiting() === 1);
    leaving.abort();
    await left;
    await waitUntil(() => readWaiting() === 0);
    answerNext();
    await fixture.clock.wait(60);
    while (held.length > 0) answerNext();
    await Promise.all(answers);
    expect([arrivals.length, fixture.results.map(({ outcome }) => outcome)]).toEqual([
      places,
      expect.arrayContaining(['callerLeft']),
    ]);
  });
});

describe('a router that stops', () => {
  // Guards against requests that are held beyond the end of their process.
  it('refuses the requests that wait', async () => {
    const stop = new AbortController();
    fixture = await createRouterFixture({
      features: { scheduling: true },
      stopSignal: stop.signal,
    });
    const { arrivals } = await addHoldingEndpoint();
    const answers = Array.from({ length: places + 1 }, (_, index) => send(`/slow/${index}`));
    await waitUntil(() => arrivals.length === places && readWaiting() === 1);
    stop.abort();
    await Promise.all(answers);
    const refused = fixture.results.filter(({ outcome }) => outcome === 'refused');
    expect(refused.map(({ refusal }) => refusal?.code)).toEqual([ResultCode.notReady]);
  });
});

describe('engines that state their memory', () => {
  // Guards against a crash of an engine whose requests exceed its memory although it has places.
  it('get no request beyond it; the request waits until another one ends', async () => {
    const features = { scheduling: true };
    fixture = await createRouterFixture({ features, engineMemoryTokens: 500 });
    const engines = [await addHoldingEndpoint('e1'), await addHoldingEndpoint('e2')];
    const answers = ['a', 'b', 'c'].map((part) =>
      send(`/slow/${part}`, undefined, { 'x-parts': part }),
    );
    const haveBoth = () => engines.every(({ arrivals }) => arrivals.length > 0);
    await waitUntil(() => haveBoth() && readWaiting() === 1);
    const before = engines.map(({ arrivals }) => arrivals.length);
    engines[1]?.answerNext();
    await waitUntil(() => readWaiting() === 0);
    engines.forEach(({ answerNext }) => answerNext());
    await waitUntil(() => engines[1]?.arrivals.length === 2);
    engines[1]?.answerNext();
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    expect([before, statuses]).toEqual([
      [1, 1],
      [200, 200, 200],
    ]);
  });

  // Guards against a bound that is in force where the deployment does not ask for it.
  it('are not bounded by it without the feature', async () => {
    fixture = await createRouterFixture({ engineMemoryTokens: 500 });
    const engine = await addHoldingEndpoint();
    const answers = ['a', 'b', 'c'].map((part) =>
      send(`/slow/${part}`, undefined, { 'x-parts': part }),
    );
    await waitUntil(() => engine.arrivals.length === 3);
    engine.held.splice(0).forEach(({ response }) => {
      response.writeHead(200, { 'x-signed': '1', 'x-id': 'r1' });
      response.end('ok');
    });
    await Promise.all(answers);
  });
});

// Guards against a request that crashes its endpoint because it came before its content was known to.
it('a request that waits is refused once its content is known to crash endpoints', async () => {
  const { answers, answerNext, arrivals } = await startFull();
  const path = '/slow/bad';
  const waiting = send(path);
  await waitUntil(() => readWaiting() === 1);
  const request = { method: 'POST', path, body: Buffer.from(path) } as unknown as RoutedRequest;
  const crashes = Object.fromEntries(['c1', 'c2', 'c3'].map((id) => [id, { ageMs: 0 }]));
  fixture.router.updateObservations({
    ...{ loads: {}, outcomes: {}, rates: {}, notices: {}, work: {} },
    crashes: { [buildContentSuspect(request)]: crashes },
  });
  answerNext();
  answerNext();
  const { status } = await waiting;
  answers.forEach(answerNext);
  await Promise.all(answers);
  expect([status, arrivals.includes(path)]).toEqual([503, false]);
  expect(fixture.results.map(({ refusal }) => refusal?.code)).toContain(ResultCode.crashConvicted);
});
