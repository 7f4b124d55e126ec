import { setTimeout as wait } from 'node:timers/promises';

const chats = 12;
const turns = 5;
const pauseMs = 200;
/** Chats do not start at the same moment. */
const staggerMs = 60;
const sampleMs = 20;
const wantedShare = 0.95;
const charactersPerToken = 4;

const readStats = (agents) =>
  Promise.all(
    agents.map(async ({ endpointAddress }) => {
      const answer = await fetch(`http://${endpointAddress}/switch/stats`, { method: 'POST' });
      return answer.json();
    }),
  );

/** Sends chats that return after a pause through changing entries; measures reuse and skew. */
export default async function runReturningChats({ caller, example }) {
  const engines = example.agents.filter(({ service }) => service === 'reports');
  const { loadMultiple } = example.config.services.reports;
  const sums = { prompt: 0, cached: 0, reusable: 0 };
  let highestMean = 0;
  let isRunning = true;

  const watchLoad = async () => {
    while (isRunning) {
      const stats = await readStats(engines);
      const mean = stats.reduce((sum, { running }) => sum + running, 0) / stats.length;
      highestMean = Math.max(highestMean, mean);
      await wait(sampleMs);
    }
  };

  const runChat = async (chat) => {
    await wait(chat * staggerMs);
    const messages = [];
    let known = 0;
    for (let turn = 0; turn < turns; turn += 1) {
      messages.push({
        role: 'user',
        content: `Trench ${chat}, note ${turn}: the base layer is uneven. `.repeat(20),
      });
      const { json } = await caller.sendJson('/v1/chat/completions', {
        model: 'reports',
        chat_id: `chat-${chat}`,
        messages,
      });
      messages.push(json.choices[0].message);
      sums.prompt += json.usage.prompt_tokens;
      sums.cached += json.usage.prompt_tokens_details.cached_tokens;
      sums.reusable += known;
      const text = messages.map(({ role, content }) => `${role}:${content}\n`).join('');
      known = Math.floor(text.length / charactersPerToken);
      await wait(pauseMs);
    }
  };

  const watching = watchLoad();
  try {
    await Promise.all(Array.from({ length: chats }, (_, chat) => runChat(chat)));
  } finally {
    isRunning = false;
    await watching;
  }
  const stats = await readStats(engines);
  const peak = Math.max(...stats.map(({ highestRunning }) => highestRunning));
  const started = stats.map((one) => one.started);
  const meanStarted = started.reduce((sum, count) => sum + count, 0) / started.length;
  const share = sums.cached / sums.reusable;
  const bound = Math.max(1, Math.ceil(loadMultiple * highestMean));
  return [
    {
      name: 'returning chats reuse the cache',
      held: share >= wantedShare,
      detail: `${sums.cached} of ${sums.reusable} reusable tokens (${(share * 100).toFixed(1)} %), ${chats} chats of ${turns} turns`,
    },
    {
      name: 'engines stay within the load bound',
      held: peak <= bound,
      detail: `at most ${peak} at once on one engine, bound ${bound}; busiest engine ran ${(Math.max(...started) / meanStarted).toFixed(2)} times the mean`,
    },
  ];
}
