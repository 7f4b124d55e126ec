import { RelayError, ResultCode, type EndpointAnswer } from '@vanillarelay/core';
import { buildJsonAnswer } from '../http/build-json-answer.js';
import { buildAnswerTokens } from './build-answer-tokens.js';
import { buildPrompt } from './build-prompt.js';
import { buildUsage } from './build-usage.js';
import type { ChatBody } from './chat-body.js';
import { countTokens } from './count-tokens.js';
import type { createBatch } from './create-batch.js';
import type { createPauseGate } from './create-pause-gate.js';
import type { createPrefixCache } from './create-prefix-cache.js';
import type { createWarmUp } from './create-warm-up.js';
import { encodeEvent } from './encode-event.js';
import type { FakeEngineOptions } from './fake-engine-options.js';
import type { FakeEngineStats } from './fake-engine-stats.js';

interface CompletionOptions {
  options: FakeEngineOptions;
  batch: ReturnType<typeof createBatch>;
  cache: ReturnType<typeof createPrefixCache>;
  pauseGate: ReturnType<typeof createPauseGate>;
  warmUp: ReturnType<typeof createWarmUp>;
  stats: FakeEngineStats;
  crash: () => void;
  /** Returns the signal that aborts at the next crash; each restart creates a new one. */
  readCrashSignal: () => AbortSignal;
}

interface Job {
  chat: string;
  prompt: string;
  tokens: string[];
  cachedTokens: number;
  /** Aborts on cancellation and on a crash. */
  signal: AbortSignal;
  release: () => void;
}

const defaultPriority = 5;

/** Creates the part of a fake engine that computes chat completions. */
export function createCompletion(parts: CompletionOptions) {
  const { options, batch, cache, pauseGate, warmUp, stats, crash, readCrashSignal } = parts;
  const {
    prefillMsPerToken = 0.2,
    tokenMs = 2,
    batchSlowdownMs = 0.1,
    answerTokens = 8,
    coldSlowdown = 4,
    crashText = '[[crash]]',
  } = options;

  /** Waits `ms` milliseconds, longer if cold or frozen; throws after a crash or cancellation. */
  const wait = async (ms: number, signal: AbortSignal, crashSignal: AbortSignal) => {
    await pauseGate.wait(ms * (warmUp.isCold() ? coldSlowdown : 1), signal);
    checkSignals(signal, crashSignal);
  };

  const checkSignals = (signal: AbortSignal, crashSignal: AbortSignal): void => {
    if (crashSignal.aborted) throw new RelayError(ResultCode.endpointFailed, 'engine crashed');
    if (signal.aborted) throw new RelayError(ResultCode.cancelled, 'request cancelled');
  };

  /** Waits for a slot in the batch and runs the prefill of the prompt. */
  const startJob = async (
    body: ChatBody,
    headers: Record<string, string>,
    callerSignal: AbortSignal,
    crashSignal: AbortSignal,
  ): Promise<Job> => {
    const signal = AbortSignal.any([callerSignal, crashSignal]);
    const priority = Number(headers['x-priority'] ?? body.priority ?? defaultPriority);
    const release = await batch.takeSlot(priority, signal);
    try {
      checkSignals(signal, crashSignal);
      const prompt = buildPrompt(body.messages);
      if (prompt.includes(crashText)) crash();
      checkSignals(signal, crashSignal);
      const chat = headers['x-chat'] ?? body.chat_id ?? '';
      const cachedTokens = chat === '' ? 0 : cache.read(chat, prompt);
      stats.started += 1;
      stats.promptTokens += countTokens(prompt);
      stats.cachedTokens += cachedTokens;
      await wait((countTokens(prompt) - cachedTokens) * prefillMsPerToken, signal, crashSignal);
      if (chat !== '') cache.write(chat, prompt);
      const tokens = buildAnswerTokens(prompt, body.max_tokens ?? answerTokens);
      return { chat, prompt, tokens, cachedTokens, signal, release: release as () => void };
    } catch (error) {
      release?.();
      if (callerSignal.aborted) stats.cancelled += 1;
      throw error;
    }
  };

  async function* writeTokens(job: Job, crashSignal: AbortSignal): AsyncGenerator<string> {
    const { chat, prompt, tokens, signal, release } = job;
    let isComplete = false;
    try {
      for (const token of tokens) {
        yield token;
        await wait(tokenMs + batchSlowdownMs * (batch.countRunning() - 1), signal, crashSignal);
      }
      if (chat !== '') cache.write(chat, `${prompt}${buildPrompt([buildMessage(tokens)])}`);
      isComplete = true;
      stats.completed += 1;
      warmUp.countRequest();
    } finally {
      if (!isComplete && !crashSignal.aborted) stats.cancelled += 1;
      release();
    }
  }

  async function* writeEvents(job: Job, crashSignal: AbortSignal): AsyncGenerator<Uint8Array> {
    for await (const content of writeTokens(job, crashSignal)) {
      yield encodeEvent({ choices: [{ index: 0, delta: { content } }] });
    }
    yield encodeEvent({
      choices: [{ index: 0, delta: {}, finish_reason: 'stop' }],
      usage: buildJobUsage(job),
    });
    yield Buffer.from('data: [DONE]\n\n');
  }

  const runNonStreaming = async (job: Job, crashSignal: AbortSignal): Promise<EndpointAnswer> => {
    const tokens: string[] = [];
    for await (const token of writeTokens(job, crashSignal)) tokens.push(token);
    return buildJsonAnswer(200, {
      object: 'chat.completion',
      choices: [{ index: 0, message: buildMessage(tokens), finish_reason: 'stop' }],
      usage: buildJobUsage(job),
    });
  };

  const run = async (
    body: ChatBody,
    headers: Record<string, string>,
    signal: AbortSignal,
  ): Promise<EndpointAnswer> => {
    const crashSignal = readCrashSignal();
    const job = await startJob(body, headers, signal, crashSignal);
    if (!body.stream) return runNonStreaming(job, crashSignal);
    // Releases the slot on cancellation even if the consumer has never read the body.
    job.signal.addEventListener('abort', job.release, { once: true });
    return {
      status: 200,
      headers: { 'content-type': 'text/event-stream' },
      body: writeEvents(job, crashSignal),
    };
  };

  return { run };
}

function buildMessage(tokens: string[]) {
  return { role: 'assistant', content: tokens.join('') };
}

function buildJobUsage({ prompt, cachedTokens, tokens }: Job) {
  return buildUsage(countTokens(prompt), cachedTokens, tokens.length);
}
