import {
  createHash,
  sortByRendezvous,
  type AgentPeer,
  type PlacementUpdate,
} from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { createHarness } from './create-harness.js';

const chat = 'chat-1';
const key = 'account-1/chat-1';

/** A harness with three peer agents, which collects the placements and caches that they receive. */
async function createFleet(options: Parameters<typeof createHarness>[0] = {}) {
  const harness = await createHarness({ type: 'model', ...options });
  const received: string[] = [];
  ['agent-1', 'agent-2', 'agent-3', 'agent-4'].forEach((id) => {
    const member = {
      id,
      service: 'orders',
      address: id,
      dataCentre: 'lahore',
      incarnation: 1,
      status: 'ready',
    };
    harness.view.members.set(id, member as never);
    harness.peers.set(id, {
      announcePlacement: async (update: PlacementUpdate) => {
        received.push(`${id}: ${update.chat} at ${update.holder}`);
      },
      importCache: async (transfer: { chat: string }, cache: Uint8Array) => {
        received.push(`${id}: ${Buffer.from(cache).toString()}`);
      },
    } as unknown as AgentPeer);
  });
  const order = sortByRendezvous(await createHash(), key, [...harness.view.members.keys()]);
  const announce = (fields: object) =>
    harness.virtual.runUntil(
      harness.client.announcePlacement({
        service: 'orders',
        chat: key,
        holder: 'agent-3',
        incarnation: 1,
        sequence: 1e18,
        ...fields,
      } as never),
    );
  return { ...harness, received, order, announce };
}

const encodeAnswer = (promptTokens: number, cachedTokens: number) =>
  JSON.stringify({
    usage: { prompt_tokens: promptTokens, prompt_tokens_details: { cached_tokens: cachedTokens } },
  });

async function* write(text: string) {
  yield Buffer.from(text);
}

// Guards against a chat that is recomputed although another endpoint holds it, and against a chat
// that is always sent to an endpoint that no longer holds it.
it('names the holder of a chat while it is ready and of the same incarnation', async () => {
  const { ask, announce, view } = await createFleet();
  const replies: string[] = [];
  await announce({});
  replies.push(await ask({ chat }), await ask({ chat, account: 'account-2' }));
  await announce({ sequence: 1, holder: 'agent-2' });
  replies.push(await ask({ chat }));
  view.members.get('agent-3')!.status = 'leaving';
  replies.push(await ask({ chat }));
  await announce({ chat: 'account-1/chat-2', holder: 'agent-4' });
  view.members.get('agent-4')!.incarnation = 2;
  replies.push(await ask({ chat: 'chat-2' }));
  expect(replies.join(', ')).toMatchInlineSnapshot(
    `"chatElsewhere notRun=true agent-3, 200 /orders, chatElsewhere notRun=true agent-3, 200 /orders, 200 /orders"`,
  );
});

// Guards against a chat that moves with a takeover while its home still names the old holder.
it('notifies the first two agents of a chat once when it takes the chat over', async () => {
  const { ask, announce, received, order } = await createFleet();
  await announce({ sequence: 1 });
  const replies = [await ask({ chat, takeOver: true }), await ask({ chat })];
  const expectedAgents = order.slice(0, 2).filter((id) => id !== 'agent-1');
  expect([
    replies.join(', '),
    received.every((text) => expectedAgents.includes(text.slice(0, 7) as never)),
    received.length,
  ]).toMatchInlineSnapshot(`
    [
      "200 /orders, 200 /orders",
      true,
      1,
    ]
  `);
});

// Guards against a chat whose first two agents never learn of it after a membership change.
it('notifies again when the first two agents of the order have changed', async () => {
  const { ask, received, order, view, virtual } = await createFleet();
  await ask({ chat });
  const before = received.length;
  const first = order.find((id) => id !== 'agent-1')!;
  view.members.delete(first);
  await virtual.run(1_000);
  expect([before > 0, received.length > before]).toMatchInlineSnapshot(`
    [
      true,
      true,
    ]
  `);
});

// Guards against refusing a returning chat, whose prompt must then be recomputed elsewhere,
// and against a long wait for a chat that the engine has evicted.
it('lets a held chat wait for a slot as long as its prompt takes to recompute', async () => {
  const { dispatch, ask, virtual, endpoint } = await createFleet({ slots: 1, coldLimit: 1 });
  let cached = 0;
  endpoint.answer = async (request, signal) => {
    const chatName = request.headers['x-chat'] ?? '';
    await endpoint.process.clock.wait(request.path === '/long' ? 1_000 : 400, signal);
    const tokens = chatName.endsWith('small') ? 100 : 20_000;
    return {
      status: 200,
      headers: { 'content-type': 'application/json' },
      body: write(encodeAnswer(tokens, cached)),
    };
  };
  await ask({ chat: 'old' });
  await ask({ chat: 'big' });
  await ask({ chat: 'small' });
  const askBusy = async (name: string) => {
    const long = dispatch({ path: '/long', chat: 'small' }).reply;
    await virtual.run(20);
    const reply = await virtual.runUntil(dispatch({ chat: name }).reply);
    await virtual.runUntil(long);
    return `${name}: ${reply.slice(0, 12)}`;
  };
  cached = 50;
  const replies = [await askBusy('big'), await askBusy('small')];
  // A miss of `big` shows that the engine has evicted everything not used since its last run.
  cached = 0;
  await ask({ chat: 'big' });
  cached = 50;
  replies.push(await askBusy('old'));
  expect(replies.join(', ')).toMatchInlineSnapshot(
    `"big: 200 {"usage", small: endpointBusy, old: endpointBusy"`,
  );
});

// Guards against a planned departure that loses caches or cancels running requests.
it('lets running work end and moves the caches before it leaves', async () => {
  const { dispatch, ask, agent, virtual, endpoint, received, order } = await createFleet();
  await ask({ chat });
  received.length = 0;
  endpoint.runMs = 3_000;
  const running = dispatch().reply;
  await virtual.run(100);
  let hasLeft = false;
  const left = agent.drain().then(() => {
    hasLeft = true;
  });
  await virtual.run(1_500);
  const refused = await ask();
  const before = hasLeft;
  await virtual.runUntil(left);
  const next = order.find((id) => id !== 'agent-1');
  expect([refused, before, await virtual.runUntil(running), received.join().replace(next!, 'next')])
    .toMatchInlineSnapshot(`
    [
      "endpointLeaving notRun=true",
      false,
      "200 /orders",
      "next: cache of account-1/chat-1",
    ]
  `);
});
