import { expect, it } from 'vitest';
import { runLoadModel, type ModelOptions } from './run-load-model.js';

type ModelResult = Awaited<ReturnType<typeof runLoadModel>>;

/** Three endpoints with 6 slots, which hold 18 requests each; together they serve 180 in a second. */
const base = { routers: 6, listSlots: () => [6, 6, 6], serviceMs: 100, seed: 20_261_206 };
/** The most requests beyond a bound differ much between runs, so that their mean is compared. */
const seeds = [20_261_206, 1, 5, 77, 4242, 99_991];
const steady = (ratePerS: number) => () => ratePerS;
const isDisturbed = (now: number) => now >= 1_500 && now < 4_500;

/** Whether the queue meets a condition, and whether a look every 15 ms, as without it, does. */
const compare = async (
  options: Omit<ModelOptions, 'policy'>,
  isMet: (result: ModelResult) => boolean,
) => ({
  queue: isMet(await runLoadModel({ ...options, policy: 'queue' })),
  poll: isMet(await runLoadModel({ ...options, policy: 'poll' })),
});
const onlyQueue = { queue: true, poll: false };

const readAnswered = ({ readShare }: ModelResult, group: string) => readShare(group)[1];

// Guards against urgent requests that are refused during a burst of the least urgent kind on a full
// service. A poll serves whichever looks first and loses a third of the urgent ones.
it('answers urgent requests during a burst of the least urgent kind', async () => {
  const streams = [
    { account: 'chat', urgency: 0, ratePerS: steady(8) },
    { account: 'batch', urgency: 2, ratePerS: (now: number) => (isDisturbed(now) ? 62 : 25) },
  ];
  const isMet = (result: ModelResult) => readAnswered(result, '0 chat') >= 0.97;
  expect(await compare({ ...base, streams }, isMet)).toEqual(onlyQueue);
});

// Guards against an account at 6 times its usual rate that takes the places of the others. With a
// poll each account is served in proportion to what it sends.
it('holds an account that surges to its share', async () => {
  const streams = [
    { account: 'surge', urgency: 1, ratePerS: (now: number) => (isDisturbed(now) ? 60 : 10) },
    { account: 'b', urgency: 1, ratePerS: steady(9) },
    { account: 'c', urgency: 1, ratePerS: steady(9) },
  ];
  const isMet = (result: ModelResult) =>
    ['1 b', '1 c'].every((group) => readAnswered(result, group) >= 0.8);
  expect(await compare({ ...base, streams }, isMet)).toEqual(onlyQueue);
});

// Guards against urgent requests that are lost when one of three endpoints is left. A poll gives them
// no more than the others.
it('answers most urgent requests when one endpoint of three is left', async () => {
  const streams = [
    { account: 'chat', urgency: 0, ratePerS: steady(6) },
    { account: 'batch', urgency: 2, ratePerS: steady(25) },
  ];
  const listSlots = (now: number) => (isDisturbed(now) ? [6, 0, 0] : [6, 6, 6]);
  const isMet = (result: ModelResult) => readAnswered(result, '0 chat') >= 0.85;
  expect(await compare({ ...base, streams, listSlots }, isMet)).toEqual(onlyQueue);
});

// Guards against callers that return at the same instant as those who were refused with them. Without
// a random part they all come back after a quarter of their time limit.
it('spreads callers that were refused together', async () => {
  const isRush = (now: number) => now >= 1_500 && now < 1_600;
  const listSlots = (now: number) => (now >= 1_500 && now < 1_900 ? [0, 0, 0] : [6, 6, 6]);
  const streams = [
    { account: 'a', urgency: 1, ratePerS: (now: number) => (isRush(now) ? 200 : 12) },
  ];
  const isMet = ({ mostTogether, returns }: ModelResult) => mostTogether <= returns / 10;
  expect(await compare({ ...base, streams, listSlots }, isMet)).toEqual(onlyQueue);
});

// Guards against routers that send as if they were alone when they hear of no other one: a third of
// them, or all after the loss of a hub. With a poll endpoints hold three times their bound and more.
it.each([
  [
    'a third of the routers is cut off',
    (now: number, router: number) => isDisturbed(now) && router < 2,
  ],
  ['a hub is lost', isDisturbed],
])('sends endpoints fewer requests beyond their bound while %s', async (_, isCut) => {
  const streams = [{ account: 'a', urgency: 1, ratePerS: steady(40) }];
  const means = { queue: 0, poll: 0 };
  for (const seed of seeds) {
    for (const policy of ['queue', 'poll'] as const) {
      const { maxOver } = await runLoadModel({ ...base, streams, isCut, seed, policy });
      means[policy] += maxOver / seeds.length;
    }
  }
  expect([means.queue <= 20, means.poll <= 40]).toEqual([true, false]);
});
