import { describe, expect, it } from 'vitest';
import { createSendQueue } from '../src/dispatch/create-send-queue.js';

/** Creates a queue whose turns the test starts. */
function createQueueFixture() {
  let next: (() => void) | undefined;
  const queue = createSendQueue({
    runAfterTurn: (callback) => {
      next = callback;
    },
  });
  const sent: string[] = [];
  return {
    sent,
    add: (name: string, { priority = 0, deadlineAt = 1_000 } = {}): AbortController => {
      const over = new AbortController();
      const urgency = { priority, deadlineAt, signal: over.signal };
      void queue.waitForTurn(urgency).then(() => sent.push(name));
      return over;
    },
    isScheduled: () => next !== undefined,
    runTurn: async () => {
      const turn = next;
      next = undefined;
      turn?.();
      await Promise.resolve();
      await Promise.resolve();
    },
  };
}

describe('the send queue', () => {
  // Guards against sends before the input of a whole turn was read.
  it('lets a request pass in the second turn after it came in', async () => {
    const fixture = createQueueFixture();
    fixture.add('a');
    await fixture.runTurn();
    fixture.add('b');
    expect(fixture.sent).toEqual([]);
    await fixture.runTurn();
    expect(fixture.sent).toEqual(['a']);
    await fixture.runTurn();
    expect(fixture.sent).toEqual(['a', 'b']);
  });

  // Guards against a long series of sends in which no disconnect is noticed.
  it('lets few requests pass in one turn, in their order', async () => {
    const fixture = createQueueFixture();
    for (let i = 0; i < 20; i += 1) fixture.add(String(i));
    await fixture.runTurn();
    const counts = [];
    while (fixture.isScheduled()) {
      await fixture.runTurn();
      counts.push(fixture.sent.length);
    }
    expect(counts).toEqual([8, 16, 20]);
    expect(fixture.sent).toEqual(Array.from({ length: 20 }, (_, i) => String(i)));
  });

  // Guards against urgent requests that a late router sends after all that came before them.
  it('lets the most urgent pass first, of these the ones with the least time left', async () => {
    const fixture = createQueueFixture();
    for (let i = 0; i < 10; i += 1) fixture.add('batch', { priority: 3, deadlineAt: 10 });
    for (let i = 0; i < 7; i += 1) fixture.add('late', { deadlineAt: 900 });
    fixture.add('soon', { deadlineAt: 50 });
    await fixture.runTurn();
    await fixture.runTurn();
    expect(fixture.sent).toEqual(['soon', ...Array.from({ length: 7 }, () => 'late')]);
  });

  // Guards against refusals that wait behind requests which are still to be sent.
  it('lets requests whose time is over pass besides the others', async () => {
    const fixture = createQueueFixture();
    for (let i = 0; i < 9; i += 1) fixture.add('urgent');
    for (let i = 0; i < 3; i += 1) fixture.add('over', { priority: 3 }).abort();
    await fixture.runTurn();
    await fixture.runTurn();
    const sent = [
      ...Array.from({ length: 3 }, () => 'over'),
      ...Array.from({ length: 8 }, () => 'urgent'),
    ];
    expect(fixture.sent).toEqual(sent);
  });

  // Guards against a router without requests that never rests.
  it('schedules no turn while it is empty', async () => {
    const fixture = createQueueFixture();
    expect(fixture.isScheduled()).toBe(false);
    fixture.add('a');
    await fixture.runTurn();
    await fixture.runTurn();
    expect(fixture.isScheduled()).toBe(false);
  });
});
