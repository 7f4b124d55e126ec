import { describe, expect, it } from 'vitest';
import { createMemoryBudget } from '@vanillarelay/router';

const limitBytes = 100 * 1024 * 1024;
const noSignal = new AbortController().signal;

describe('memory budget', () => {
  // Guards against a budget whose parts hold more than the process has.
  it('divides less than half of the memory', () => {
    const budget = createMemoryBudget(limitBytes);
    const taken = Object.entries(budget).map(([part, memory]) => {
      let megabytes = 0;
      while (memory.take(1024 * 1024)) megabytes += 1;
      return [part, megabytes];
    });
    expect(Object.fromEntries(taken)).toMatchInlineSnapshot(`
      {
        "answers": 8,
        "largeBodies": 30,
        "smallBodies": 2,
      }
    `);
  });

  // Guards against large bodies that overtake others, and against memory that is granted twice.
  it('grants memory in the order of the calls, and only what was released', async () => {
    const { largeBodies } = createMemoryBudget(limitBytes);
    const half = Math.floor((limitBytes * 0.4 * 0.75) / 2);
    const granted: string[] = [];
    expect([largeBodies.take(half), largeBodies.take(half), largeBodies.take(half)]).toEqual([
      ...[true, true, false],
    ]);
    const wait = (name: string, bytes: number) =>
      largeBodies.waitToTake(bytes, noSignal).then((isTaken) => granted.push(`${name} ${isTaken}`));
    const first = wait('first', half);
    const second = wait('second', 1);
    expect(largeBodies.take(0)).toBe(false);
    largeBodies.release(1);
    await Promise.resolve();
    expect(granted).toEqual([]);
    largeBodies.release(half);
    await Promise.all([first, second]);
    expect(granted).toEqual(['first true', 'second true']);
    expect(largeBodies.readHeldBytes()).toBe(half * 2);
  });

  // Guards against a caller that left and still holds up those behind it.
  it('lets those behind a caller that left go on', async () => {
    const { largeBodies } = createMemoryBudget(limitBytes);
    const half = Math.floor((limitBytes * 0.4 * 0.75) / 2);
    largeBodies.take(half + 1);
    const leaving = new AbortController();
    const first = largeBodies.waitToTake(half, leaving.signal);
    const second = largeBodies.waitToTake(1, noSignal);
    leaving.abort();
    expect(await Promise.all([first, second])).toEqual([false, true]);
  });

  // Guards against a queue whose end could be reached only after all memory was used once more.
  it('refuses at once what would wait behind as much as there is', async () => {
    const { largeBodies } = createMemoryBudget(limitBytes);
    const all = Math.floor(limitBytes * 0.4 * 0.75);
    largeBodies.take(all);
    void largeBodies.waitToTake(all, noSignal);
    expect(await largeBodies.waitToTake(1, noSignal)).toBe(false);
  });
});
