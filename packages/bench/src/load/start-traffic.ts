import { toId, type AccountId, type ChatId } from '@vanillarelay/core';
import type { ChatTurn } from './chat-turn.js';
import type { TrafficOptions } from './traffic-options.js';

const alphabet = 'etaoin shrdlu cmfwyp vbgkjq';

/** Starts the chats, one task each; they stop when the signal aborts. */
export function startTraffic(options: TrafficOptions, signal: AbortSignal): Promise<void[]> {
  // One signal per chat: a signal searches its listeners linearly, which is slow with thousands.
  const controllers = Array.from({ length: options.chats }, () => new AbortController());
  signal.addEventListener('abort', () => controllers.forEach((each) => each.abort()), {
    once: true,
  });
  return Promise.all(
    controllers.map((controller, index) => runChats(options, index, controller.signal)),
  );
}

/** Runs one chat after another, with a pause before each turn. */
async function runChats(
  options: TrafficOptions,
  index: number,
  signal: AbortSignal,
): Promise<void> {
  const { clock, random } = options;
  let chatNumber = 0;
  await clock.wait(random() * options.pauseMs, signal);
  while (!signal.aborted) {
    chatNumber += 1;
    const chat = toId<ChatId>(`chat-${index}-${chatNumber}`);
    await runChat(options, chooseAccount(options), chat, signal);
  }
}

async function runChat(
  options: TrafficOptions,
  account: AccountId,
  chat: ChatId,
  signal: AbortSignal,
): Promise<void> {
  const { clock, random, turns, send } = options;
  const messages: ChatTurn['messages'] = [];
  for (let turn = 1; !signal.aborted; turn += 1) {
    messages.push({ role: 'user', content: generateText(options) });
    const answer = await send({ account, chat, turn, messages: [...messages] }, signal);
    if (answer !== undefined) messages.push({ role: 'assistant', content: answer });
    await clock.wait(computePause(options), signal);
    if (random() < 1 / turns) return;
  }
}

function chooseAccount({ random, accounts }: TrafficOptions): AccountId {
  const total = accounts.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random() * total;
  const chosen = accounts.find(({ weight }) => {
    remaining -= weight;
    return remaining <= 0;
  });
  return (chosen ?? accounts[0])!.id;
}

/** Draws an exponentially distributed pause; a share of the pauses is longer by a factor. */
function computePause({ random, pauseMs, longPause }: TrafficOptions): number {
  const factor = random() < longPause.share ? longPause.factor : 1;
  return -Math.log(1 - random()) * pauseMs * factor;
}

function generateText({ random, turnCharacters: [lowest, highest] }: TrafficOptions): string {
  const length = Math.floor(lowest + random() * (highest - lowest));
  const start = Math.floor(random() * alphabet.length);
  return (alphabet.slice(start) + alphabet)
    .repeat(Math.ceil(length / alphabet.length))
    .slice(0, length);
}
