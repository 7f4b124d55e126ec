import {
  createHash,
  findRendezvousFirst,
  ResultCode,
  sortByRendezvous,
  type DispatchRequest,
  type EndpointId,
  type Refusal,
} from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { createFixture } from './create-fixture.js';

const chat = { headers: { 'x-chat-id': 'chat-1' } };

const createChatElsewhere = (holder: string): Refusal => ({
  code: ResultCode.chatElsewhere,
  message: 'elsewhere',
  notRun: true,
  holder: holder as EndpointId,
});
const busy: Refusal = { code: ResultCode.endpointBusy, message: 'busy', notRun: true };

const sortAgents = async (count: number): Promise<string[]> =>
  sortByRendezvous(
    await createHash(),
    'inspectors/chat-1',
    Array.from({ length: count }, (_, index) => `agent-${index}`),
  );

type Fixture = Awaited<ReturnType<typeof createFixture>>;

const listPlacements = ({ dispatches }: Fixture) =>
  dispatches.map(({ agent, request }) => `${agent}${request.takeOver ? ' takes over' : ''}`);

// Guards against an entry and agents that compute different homes for a chat.
it('finds the first of the rendezvous order without sorting', async () => {
  const hash = await createHash();
  for (let key = 0; key < 200; key += 1) {
    const nodes = Array.from({ length: 1 + (key % 20) }, (_, index) => `agent-${index}`);
    expect(findRendezvousFirst(hash, `${key}`, nodes)).toBe(
      sortByRendezvous(hash, `${key}`, nodes)[0],
    );
  }
});

// Guards against a returning chat that is placed elsewhere although the holder has capacity.
it('asks the home first and then the holder that it names', async () => {
  const [home, , third] = await sortAgents(5);
  const check = (agent: string) => (agent === home ? createChatElsewhere(third!) : undefined);
  const fixture = await createFixture({ agents: 5, check });
  expect((await fixture.ask(chat)).status).toBe(200);
  expect(listPlacements(fixture)).toEqual([home, third]);
});

// Guards against a chat that waits for a busy holder while others have capacity.
it('lets the less loaded of two endpoints take the chat over when the holder is busy', async () => {
  const [home, second, third] = await sortAgents(3);
  const check = (agent: string, request: DispatchRequest) => {
    if (agent === home && !request.takeOver) return createChatElsewhere(third!);
    return agent === third ? busy : undefined;
  };
  const fixture = await createFixture({ check });
  const loads = new Map([
    [home, 5],
    [second, 1],
  ]) as never;
  fixture.view.current = { ...fixture.view.current, loads };
  await fixture.ask(chat);
  expect(listPlacements(fixture)).toEqual([home, third, `${second} takes over`]);
});

// Guards against a lost pointer to the holder when the home fails: the second endpoint in the
// rendezvous order has a copy.
it('asks the second endpoint in the rendezvous order when the home cannot be reached', async () => {
  const [home, second, third] = await sortAgents(3);
  const check = (agent: string) => (agent === second ? createChatElsewhere(third!) : undefined);
  const fixture = await createFixture({ check });
  fixture.fleet.get(home!)!.process.kill();
  expect((await fixture.ask(chat)).status).toBe(200);
  expect(listPlacements(fixture)).toEqual([second, third]);
});

// Guards against a request that is redirected forever between two agents that each name the other
// as the holder.
it('breaks a cycle of redirects by taking the chat over', async () => {
  const [home, second] = await sortAgents(2);
  const check = (agent: string, { takeOver }: DispatchRequest) =>
    takeOver ? undefined : createChatElsewhere(agent === home ? second! : home!);
  const fixture = await createFixture({ agents: 2, check });
  expect((await fixture.ask(chat)).status).toBe(200);
  expect(fixture.dispatches.length).toBeLessThan(5);
});

// Guards against new requests at endpoints that leave, drain, flap or are in a data centre that was
// taken out.
it('skips endpoints that must not get new requests', async () => {
  const fixture = await createFixture({ agents: 6 });
  const changes = [
    { status: 'leaving' },
    { damped: true },
    { dataCentre: 'multan' },
    {},
    { service: 'reports' },
    {},
  ];
  fixture.updateMembers(({ id }) => changes[Number(id.slice(-1))] as never);
  const state = {
    ...fixture.view.current.state!,
    dataCentresOut: ['multan'],
    draining: ['agent-3'],
  };
  fixture.view.current = { ...fixture.view.current, state: state as never };
  for (let i = 0; i < 40; i += 1) await fixture.ask({ headers: { 'x-chat-id': `chat-${i}` } });
  for (let i = 0; i < 40; i += 1) await fixture.ask();
  expect([...new Set(listPlacements(fixture))]).toEqual(['agent-5']);
});

// Guards against an entry that overloads one endpoint between two updates of the reported loads.
it('counts its own requests in flight and prefers endpoints with capacity', async () => {
  const fixture = await createFixture({ agents: 4, runMs: 60_000 });
  fixture.updateMembers(({ id }) => (id === ('agent-3' as never) ? { status: 'cold' } : undefined));
  for (let i = 0; i < 13; i += 1) {
    void fixture.send();
    await fixture.virtual.run(10);
  }
  const counts: Record<string, number> = {};
  fixture.dispatches.forEach(({ agent }) => {
    counts[agent] = (counts[agent] ?? 0) + 1;
  });
  expect(counts).toMatchInlineSnapshot(`
    {
      "agent-0": 4,
      "agent-1": 4,
      "agent-2": 4,
      "agent-3": 1,
    }
  `);
});
