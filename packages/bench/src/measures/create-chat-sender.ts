import type { FleetContext } from '@vanillarelay/scenarios';
import { build, type Histogram } from 'hdr-histogram-js';
import type { ChatTurn } from '../load/chat-turn.js';

interface SenderTotals {
  /** Requests with a complete answer, refusals included. */
  requests: number;
  /** Answers with a status other than 200 or without token usage. */
  refused: number;
  /** Refused requests by result code, or by HTTP status if the answer has no code. */
  codes: Record<string, number>;
  /** Requests that failed before their answer was complete; not counted in `requests`. */
  broken: number;
  promptTokens: number;
  cachedTokens: number;
  /** Time to the first byte of requests that were not refused, in milliseconds. */
  firstByte: Histogram;
}

const accountKey = 'bench-account-key';

/** Creates a chat sender that uses random entries and counts requests after `start`. */
export function createChatSender({ virtual, network, random, entries }: FleetContext) {
  const caller = virtual.createProcess('caller');
  const clients = [...entries.keys()].map((id) => ({
    id,
    client: network.open(caller, () => entries.get(id)),
  }));
  let totals = createTotals();
  let isMeasuring = false;

  const send = async (turn: ChatTurn, signal: AbortSignal): Promise<string | undefined> => {
    // Like the platform's load balancer, sends only to entries that are ready.
    const ready = clients.filter(({ id }) => isEntryReady(entries, id));
    const { client } = ready[Math.floor(random() * ready.length)] ?? clients[0]!;
    const startedAt = virtual.clock.monotonic();
    let text = '';
    let firstByteMs: number | undefined;
    try {
      const reply = await client.handle(buildRequest(turn), signal);
      for await (const chunk of reply.body) {
        firstByteMs ??= virtual.clock.monotonic() - startedAt;
        text += Buffer.from(chunk).toString('utf8');
      }
      if (isMeasuring) recordTotals(totals, reply.status, text, firstByteMs ?? 0);
      return reply.status === 200 ? readContent(text) : undefined;
    } catch {
      if (isMeasuring) totals.broken += 1;
      return undefined;
    }
  };

  return {
    send,
    readTotals: () => totals,
    /** Starts counting, with all totals at zero. */
    start: (): void => {
      isMeasuring = true;
      totals = createTotals();
    },
  };
}

function isEntryReady(entries: FleetContext['entries'], id: string): boolean {
  const entry = entries.get(id);
  return entry !== undefined && entry.process.isAlive() && entry.handlers.isReady();
}

function createTotals(): SenderTotals {
  return {
    requests: 0,
    refused: 0,
    codes: {},
    broken: 0,
    promptTokens: 0,
    cachedTokens: 0,
    firstByte: build(),
  };
}

function buildRequest(turn: ChatTurn) {
  const body = { model: 'chat', chat_id: turn.chat, stream: true, messages: turn.messages };
  return {
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { authorization: `Bearer ${accountKey}`, 'content-type': 'application/json' },
    body: Buffer.from(JSON.stringify(body)),
  };
}

function recordTotals(totals: SenderTotals, status: number, text: string, ms: number): void {
  totals.requests += 1;
  const usage = /"prompt_tokens":(\d+).*"cached_tokens":(\d+)/.exec(text);
  if (status !== 200 || !usage) {
    totals.refused += 1;
    const code = /"code":(\d+)/.exec(text)?.[1] ?? String(status);
    totals.codes[code] = (totals.codes[code] ?? 0) + 1;
    return;
  }
  totals.promptTokens += Number(usage[1]);
  totals.cachedTokens += Number(usage[2]);
  totals.firstByte.recordValue(Math.max(1, Math.round(ms)));
}

function readContent(text: string): string {
  return [...text.matchAll(/"content":"([^"]*)"/g)].map((match) => match[1]).join('');
}
