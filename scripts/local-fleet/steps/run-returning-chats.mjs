import { setTimeout as wait } from 'node:timers/promises';

const quietChats = 8;
const quietTurns = 4;
const busyChats = 12;
const busyTurns = 5;
const pauseMs = 200;
/** Time between the starts of two busy chats, in milliseconds. */
const staggerMs = 60;
const sampleIntervalMs = 20;
const minReuseShare = 0.95;
const charactersPerToken = 4;

const readStats = (agents) =>
  Promise.all(
    agents.map(async ({ endpointAddress }) => {
      const answer = await fetch(`http://${endpointAddress}/switch/stats`, { method: 'POST' });
      return answer.json();
    }),
  );

const createChat = (caller, name, sums) => {
  const messages = [];
  let reusableTokens = 0;
  /** Sends the next turn with the whole chat so far. */
  const sendTurn = async () => {
    const note = `Trench ${name}, note ${messages.length}: the base layer is uneven. `;
    messages.push({ role: 'user', content: note.repeat(20) });
    const { json } = await caller.sendJson('/v1/chat/completions', {
      model: 'reports',
      chat_id: name,
      messages,
    });
    messages.push(json.choices[0].message);
    sums.cached += json.usage.prompt_tokens_details.cached_tokens;
    sums.reusable += reusableTokens;
    const text = messages.map(({ role, content }) => `${role}:${content}\n`).join('');
    reusableTokens = Math.ceil(text.length / charactersPerToken);
  };
  return { sendTurn };
};

const createChats = (caller, count, prefix, sums) =>
  Array.from({ length: count }, (_, index) => createChat(caller, `${prefix}-${index}`, sums));

const formatShare = ({ cached, reusable }) =>
  `${cached} of ${reusable} reusable tokens (${((cached / reusable) * 100).toFixed(1)} %)`;

/**
 * Sends one turn at a time: the load bound moves no chat, so every token of earlier turns can be
 * reused.
 */
const runQuietChats = async (caller) => {
  const sums = { cached: 0, reusable: 0 };
  const chats = createChats(caller, quietChats, 'quiet', sums);
  for (let turn = 0; turn < quietTurns; turn += 1) {
    for (const { sendTurn } of chats) await sendTurn();
  }
  return {
    name: 'returning chats reuse the cache',
    passed: sums.cached >= minReuseShare * sums.reusable,
    detail: `${formatShare(sums)}, ${quietChats} chats of ${quietTurns} turns through all entries`,
  };
};

/** Runs all chats at once: the load bound may move a chat, which then reuses fewer tokens. */
const runBusyChats = async (caller, engines, loadMultiple) => {
  const sums = { cached: 0, reusable: 0 };
  let highestMean = 0;
  let isRunning = true;
  const measureLoad = async () => {
    while (isRunning) {
      const stats = await readStats(engines);
      const mean = stats.reduce((sum, { running }) => sum + running, 0) / stats.length;
      highestMean = Math.max(highestMean, mean);
      await wait(sampleIntervalMs);
    }
  };
  const runChat = async ({ sendTurn }, index) => {
    await wait(index * staggerMs);
    for (let turn = 0; turn < busyTurns; turn += 1) {
      await sendTurn();
      await wait(pauseMs);
    }
  };
  const before = await readStats(engines);
  const measuring = measureLoad();
  try {
    await Promise.all(createChats(caller, busyChats, 'busy', sums).map(runChat));
  } finally {
    isRunning = false;
    await measuring;
  }
  const after = await readStats(engines);
  const peak = Math.max(...after.map(({ highestRunning }) => highestRunning));
  const started = after.map((stats, index) => stats.started - before[index].started);
  const meanStarted = started.reduce((sum, count) => sum + count, 0) / started.length;
  const skew = Math.max(...started) / meanStarted;
  const bound = Math.max(1, Math.ceil(loadMultiple * highestMean));
  return {
    name: 'engines stay within the load bound',
    passed: peak <= bound,
    detail: `at most ${peak} at once, bound ${bound}; busiest engine ran ${skew.toFixed(2)} times the mean; ${formatShare(sums)} with ${busyChats} chats at once`,
  };
};

/** Sends chats that return after a pause through changing entries; measures reuse and skew. */
export default async function runReturningChats({ caller, example }) {
  const engines = example.agents.filter(({ service }) => service === 'reports');
  const { loadMultiple } = example.config.services.reports;
  return [await runQuietChats(caller), await runBusyChats(caller, engines, loadMultiple)];
}
