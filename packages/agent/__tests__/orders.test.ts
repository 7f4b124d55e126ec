import { toRefusal, type EngineOrder } from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { createHarness } from './create-harness.js';

const buildOrder = (fencingToken: number, target: string) =>
  ({ endpoint: 'agent-1', action: 'changeRole', target, fencingToken }) as EngineOrder;

// Guards against an old order that is executed after a newer one: at an engine that ignores fencing
// tokens, while another order is in progress, and after the agent has restarted.
it('executes orders sorted by their tokens and refuses stale ones', async () => {
  const { agent, view, virtual, endpoint } = await createHarness();
  const results: string[] = [];
  const receive = async (token: number, target: string) => {
    await agent.receiveOrder(buildOrder(token, target)).then(
      () => results.push(`${token} done`),
      (error) => results.push(`${token} ${toRefusal(error).message}`),
    );
  };
  view.state.orders = [buildOrder(7, 'seven')];
  await virtual.runUntil(receive(5, 'five'));
  await virtual.run(500);
  const { sendOrder } = endpoint.handlers;
  endpoint.handlers.sendOrder = async (order) => {
    await endpoint.process.clock.wait(1_000);
    await sendOrder(order);
  };
  const slow = [receive(8, 'eight'), receive(9, 'nine'), receive(10, 'ten')];
  await virtual.run(100);
  slow.push(receive(8, 'eight again'));
  await virtual.runUntil(Promise.all(slow));
  expect([results, endpoint.orders.join(' ')]).toMatchInlineSnapshot(`
    [
      [
        "5 fencing token 5 is older than 7",
        "8 fencing token 8 is older than 10",
        "9 fencing token 9 is older than 10",
        "8 fencing token 8 is older than 10",
        "10 done",
      ],
      "seven ten",
    ]
  `);
});

// Guards against an order from an agent that resumes after newer orders were sent, or that does not
// know the newest token yet.
it('accepts no order without contact or state', async () => {
  const { agent, status, view, virtual, endpoint } = await createHarness();
  const { state } = view;
  view.state = undefined as never;
  const receive = (order: EngineOrder) =>
    virtual.runUntil(agent.receiveOrder(order).catch((error) => toRefusal(error).message));
  const results = [await receive(buildOrder(1, 'one'))];
  view.state = state;
  status.contact = 'isolated';
  view.state.orders = [buildOrder(2, 'two')];
  await virtual.run(1_000);
  results.push(await receive(buildOrder(2, 'two')));
  expect([results, endpoint.orders]).toMatchInlineSnapshot(`
    [
      [
        "agent does not know the newest fencing token",
        "agent does not know the newest fencing token",
      ],
      [],
    ]
  `);
});

// Guards against weights loaded without a permit for the weight store, and failed orders that are
// not retried.
it('takes a permit for loads and retries a failed order', async () => {
  const { view, virtual, endpoint, log } = await createHarness();
  let failures = 2;
  const { sendOrder } = endpoint.handlers;
  endpoint.handlers.sendOrder = async (order) => {
    failures -= 1;
    if (failures >= 0) throw new Error('engine is busy');
    await sendOrder(order);
  };
  view.state.orders = [{ ...buildOrder(3, 'model-3'), action: 'loadModel' }];
  await virtual.run(3_000);
  const permits = log.commands.map(({ type }) => type).filter((type) => type.endsWith('Permit'));
  expect([endpoint.orders.join(' '), permits.join(' ')]).toMatchInlineSnapshot(`
    [
      "model-3",
      "takePermit releasePermit takePermit releasePermit takePermit releasePermit",
    ]
  `);
});
