import type { EndpointId } from '@vanillarelay/core';
import { describe, expect, it } from 'vitest';
import { buildMemoryNeed } from '../src/memory/build-memory-need.js';
import { createEngineMemory } from '../src/memory/create-engine-memory.js';

const id = 'e1' as EndpointId;
const memoryTokens = 301_321;
const slots = 64;

/** A prompt of 9,200 tokens of which 8,620 are shared with other requests. */
const buildNeed = (part: string) =>
  buildMemoryNeed({
    promptParts: [
      { id: part, tokens: 8_620 },
      { id: 'own', tokens: 580 },
    ],
    promptTokens: 9_200,
    maxOutputTokens: 400,
  })!;

describe('the memory of an engine', () => {
  // Guards against refusing work that fits: 64 requests with a few shared prompts.
  it('has room for requests that share their prompts', () => {
    const memory = createEngineMemory();
    const answers = Array.from({ length: slots }, (_, index) => {
      const need = buildNeed(`p${index % 8}`);
      const answer = memory.check(id, { need, memoryTokens, remoteLoad: 0 });
      memory.start(id, need);
      return answer;
    });
    expect([new Set(answers), memory.readOwn(id)]).toEqual([
      new Set(['free']),
      8 * 8_620 + slots * 980,
    ]);
  });

  // Guards against a crash of an engine that holds more than its memory.
  it('is bounded when every prompt is different', () => {
    const memory = createEngineMemory();
    const answers: string[] = [];
    for (let index = 0; index < slots; index += 1) {
      const need = buildNeed(`p${index}`);
      const answer = memory.check(id, { need, memoryTokens, remoteLoad: 0 });
      answers.push(answer);
      if (answer !== 'none') memory.start(id, need);
    }
    const count = (answer: string) => answers.filter((each) => each === answer).length;
    expect([count('free'), count('short'), count('none')]).toEqual([23, 6, 35]);
    expect(memory.readOwn(id)).toBeLessThan(memoryTokens);
  });

  // Guards against a request that no engine ever takes.
  it('takes any request when it holds nothing', () => {
    const need = { ownTokens: memoryTokens * 2, sharedParts: [] };
    const check = createEngineMemory().check(id, { need, memoryTokens, remoteLoad: 0 });
    expect(check).toBe('free');
  });

  // Guards against a bound that ignores the requests of the other routers.
  it('counts what others report, or their requests when they report nothing', () => {
    const memory = createEngineMemory();
    const need = { ownTokens: 1_000, sharedParts: [] };
    memory.start(id, need);
    const request = { need, memoryTokens: 100_000, remoteLoad: 0 };
    const byLoad = memory.check(id, { ...request, remoteLoad: 80 });
    memory.updateRemote({ [id]: 96_000 });
    expect([memory.check('e2' as EndpointId, request), byLoad, memory.check(id, request)]).toEqual([
      ...['free', 'short', 'none'],
    ]);
  });

  // Guards against tokens that stay counted after the end of their request.
  it('is free again after the end of the requests, and then nothing is reported', () => {
    const memory = createEngineMemory();
    const readReport = () =>
      memory.readLocal(
        () => 10_000,
        () => 0,
      );
    memory.start(id, buildNeed('p'));
    const during = readReport();
    memory.stop(id, buildNeed('p'));
    expect([during, memory.readOwn(id), readReport()]).toEqual([{ [id]: 980 }, 0, {}]);
  });
});
