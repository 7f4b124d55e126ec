import {
  RelayError,
  ResultCode,
  type EndpointAnswer,
  type EndpointClient,
  type EndpointRequest,
} from '@vanillarelay/core';
import type { FakeEngineOptions } from './fake-engine-options.js';

interface ChatBody {
  chat_id?: string;
  stream?: boolean;
  messages: { role: string; content: string }[];
}

const charactersPerToken = 4;

/** Makes a fake engine: continuous batching, a prefix cache in limited memory, streamed answers. */
export function createFakeEngine(options: FakeEngineOptions) {
  const {
    clock,
    instance,
    prefillMsPerToken = 0.2,
    tokenMs = 2,
    batchSlowdownMs = 0.1,
    cacheTokens = 20_000,
    answerTokens = 8,
  } = options;
  /** Cached prompt tokens by chat, least recently used first. */
  const cache = new Map<string, number>();
  let running = 0;

  const takeFromCache = (chat: string, promptTokens: number): number => {
    const cached = Math.min(cache.get(chat) ?? 0, promptTokens);
    cache.delete(chat);
    cache.set(chat, promptTokens + answerTokens);
    let total = [...cache.values()].reduce((sum, tokens) => sum + tokens, 0);
    while (total > cacheTokens && cache.size > 1) {
      const [oldest, tokens] = [...cache][0] ?? ['', 0];
      cache.delete(oldest);
      total -= tokens;
    }
    return cached;
  };

  async function* writeTokens(body: ChatBody, signal: AbortSignal): AsyncGenerator<Uint8Array> {
    running += 1;
    try {
      const promptTokens = Math.ceil(JSON.stringify(body.messages).length / charactersPerToken);
      const cached = takeFromCache(body.chat_id ?? '', promptTokens);
      await clock.wait((promptTokens - cached) * prefillMsPerToken, signal);
      for (let token = 0; token < answerTokens && !signal.aborted; token += 1) {
        yield encodeEvent({ choices: [{ index: 0, delta: { content: `t${token} ` } }] });
        await clock.wait(tokenMs + batchSlowdownMs * (running - 1), signal);
      }
      if (signal.aborted) throw new RelayError(ResultCode.cancelled, 'request cancelled');
      yield encodeEvent({
        choices: [{ index: 0, delta: {}, finish_reason: 'stop' }],
        usage: {
          prompt_tokens: promptTokens,
          completion_tokens: answerTokens,
          prompt_tokens_details: { cached_tokens: cached },
        },
      });
      yield Buffer.from('data: [DONE]\n\n');
    } finally {
      running -= 1;
    }
  }

  const run = async (request: EndpointRequest, signal: AbortSignal): Promise<EndpointAnswer> => {
    const body = JSON.parse(Buffer.from(request.body).toString('utf8')) as ChatBody;
    return {
      status: 200,
      headers: { 'content-type': 'text/event-stream' },
      body: writeTokens(body, signal),
    };
  };

  const client: EndpointClient = {
    run,
    readHealth: async () => ({ instance, cold: false, running }),
    sendOrder: async () => {},
    exportCache: async () => undefined,
    importCache: async () => {},
  };
  return client;
}

function encodeEvent(value: unknown): Uint8Array {
  return Buffer.from(`data: ${JSON.stringify(value)}\n\n`);
}
