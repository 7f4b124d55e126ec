import { setTimeout as wait } from 'node:timers/promises';

const dataCentre = 'multan';
/** Time after which no request may go to a data centre that was taken out, in milliseconds. */
const takeOutLimitMs = 1_000;
const trafficMs = 3_000;
const sendIntervalMs = 40;

/** Takes a data centre out under traffic and brings it back. */
export default async function runTakeOut({ caller, fleet, example }) {
  const localAgents = new Set(
    example.agents.filter((agent) => agent.dataCentre === dataCentre).map(({ id }) => id),
  );
  const startedAt = Date.now();
  const failures = [];
  let lateSends = 0;
  let sent = 0;
  const propose = (type) =>
    fleet.operator.propose({
      type,
      changeId: `${type}-${startedAt}`,
      operator: example.operator.operator,
      dataCentre,
    });
  const taken = await propose('takeOutDataCentre');
  const acceptedAt = Date.now();
  const sendOne = async (number) => {
    const sentAt = Date.now();
    const answer = await caller.send(`/services/permits/permits/${number}`);
    await answer.text();
    if (!answer.ok) failures.push(answer.status);
    if (localAgents.has(answer.headers.get('x-endpoint')) && sentAt - acceptedAt > takeOutLimitMs)
      lateSends += 1;
  };
  const running = [];
  while (Date.now() - acceptedAt < trafficMs) {
    running.push(sendOne(sent));
    sent += 1;
    await wait(sendIntervalMs);
  }
  await Promise.all(running);
  const returned = await propose('bringBackDataCentre');
  return [
    {
      passed: taken.ok && returned.ok && failures.length === 0 && lateSends === 0,
      detail: `${sent} lookups, ${failures.length} failed, ${lateSends} sent to the data centre after ${takeOutLimitMs} ms`,
    },
  ];
}
