import type { Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { createRouterFixture } from './create-router-fixture.js';

const ownAnswer =
  'HTTP/1.1 200 OK\r\nx-id: r1\r\nx-signed: 1\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n\r\nok';
const buildRefusal = (status: number, id?: string) =>
  `HTTP/1.1 ${status} No\r\nx-not-run: 1\r\n${id === undefined ? '' : `x-id: ${id}\r\n`}Content-Length: 0\r\n\r\n`;
/** Time after which the endpoint also sends the answer to the request. */
const answerDelayMs = 20;

/** Guards against "not run" for a request that runs, because an earlier refusal was sent once more. */
describe('an earlier refusal on a kept connection', () => {
  let fixture: Awaited<ReturnType<typeof createRouterFixture>>;
  afterEach(() => fixture.close());

  /**
   * Sends two requests over one connection; the endpoint answers the second with the refusal first.
   * A second endpoint is at hand. Returns the status and the number of requests that arrived for the
   * second one.
   */
  const sendTwice = async (path: string, refusal: string, isSplit = false) => {
    fixture = await createRouterFixture();
    let arrivals = 0;
    const answer = (socket: Socket): void => {
      arrivals += 1;
      if (arrivals === 1) socket.write(ownAnswer);
      else {
        socket.write(isSplit ? refusal : `${refusal}${ownAnswer}`);
        if (isSplit) setTimeout(() => socket.write(ownAnswer), answerDelayMs);
      }
    };
    await fixture.addRawEndpoint('e1', answer);
    const post = () =>
      fetch(`${fixture.url}${path}`, { method: 'POST', headers: { 'x-id': 'r1' }, body: 'x' });
    expect((await post()).status).toBe(200);
    await fixture.addRawEndpoint('e2', (socket) => {
      arrivals += 1;
      socket.write(ownAnswer);
    });
    const { status } = await post();
    return { status, arrivals: arrivals - 1 };
  };

  const unknownOutcome = { status: 502, arrivals: 1 };

  it.each([503, 429, 408, 421])(
    '%i with the id of another request: leaves the outcome unknown and is not sent again',
    async (status) => {
      const refusal = buildRefusal(status, 'r0');
      expect(await sendTwice('/order/1', refusal)).toEqual(unknownOutcome);
      expect(fixture.endpoints.find('e1' as never)?.record.state).toBe('ready');
    },
  );

  it('ahead of the answer, in a packet of its own: leaves the outcome unknown', async () => {
    const refusal = buildRefusal(503, 'r0');
    expect(await sendTwice('/order/1', refusal, true)).toEqual(unknownOutcome);
  });

  it.each([503, 421])('%i without an id: leaves the outcome unknown', async (status) => {
    expect(await sendTwice('/order/1', buildRefusal(status))).toEqual(unknownOutcome);
  });

  it('is no reason to fail a request that may be sent again', async () => {
    const { status } = await sendTwice('/lookup/1', buildRefusal(503, 'r0'));
    expect(status).toBe(200);
  });

  // Guards against a limit of requests per second that was named before.
  it('names no limit', async () => {
    const refusal = buildRefusal(503, 'r0').replace('x-not-run', 'x-limit: 0\r\nx-not-run');
    await sendTwice('/order/1', refusal);
    expect(fixture.router.countLimitedEndpoints()).toBe(0);
  });

  // Guards against failing requests whose endpoint certainly refused them.
  it('is no issue for a refusal of the request itself', async () => {
    expect(await sendTwice('/order/1', buildRefusal(503, 'r1'))).toEqual({
      status: 200,
      arrivals: 2,
    });
  });
});
