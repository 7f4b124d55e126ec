import { readFile, readdir } from 'node:fs/promises';
import { createLog, logEvents } from '@vanillarelay/router';
import { expect, it } from 'vitest';

function createSink({ isStopped = false } = {}) {
  const lines: { event: string; of?: string; lines?: number }[] = [];
  let drop = () => {};
  const destination = {
    write: (text: string) => {
      if (isStopped) drop();
      else lines.push(JSON.parse(text) as (typeof lines)[number]);
    },
    on: (_: 'drop', listener: () => void) => {
      drop = listener;
    },
    flushSync: () => {},
  };
  return { lines, destination };
}

// Guards against a flood of one event that fills the log and hides the others.
it('limits the lines of each event and reports how many were dropped', () => {
  const { lines, destination } = createSink();
  let now = 0;
  const log = createLog({ process: 'p', monotonic: () => now, destination });
  for (let count = 0; count < 5_000; count += 1) log.write('request.answered', { count });
  log.write('request.failed', { request: 'r1' });
  now = 1_500;
  log.write('request.answered');
  const counted = lines.filter(({ event }) => event === 'request.answered').length;
  expect(counted).toBeLessThanOrEqual(50);
  expect(lines.some(({ event }) => event === 'request.failed')).toBe(true);
  expect(lines.find(({ event }) => event === 'log.dropped')).toMatchObject({
    of: 'request.answered',
    lines: 5_000 - (counted - 1),
  });
});

// Guards against a stalled reader of the output that blocks requests.
it('counts the lines that a stalled reader does not consume and does not block', () => {
  const { destination } = createSink({ isStopped: true });
  const log = createLog({ process: 'p', monotonic: () => 0, destination });
  for (let count = 0; count < 10; count += 1) log.write('request.failed', { count });
  expect(log.countLost()).toBe(10);
});

// Guards against events that are missing from the page for on-call engineers.
it('documents every event on the operations page', async () => {
  const page = await readFile(new URL('../../../docs/OPERATIONS.md', import.meta.url), 'utf8');
  const missing = Object.keys(logEvents).filter((name) => !page.includes(`\`${name}\``));
  expect(missing).toEqual([]);
});

// Guards against an event that is logged but missing from `logEvents`.
it('lists every event that the router, the fleet and the control group record', async () => {
  const folders = ['../../fleet/src', '../../control/src/raft', '../src'];
  const names = new Set<string>();
  for (const folder of folders) {
    const url = new URL(`${folder}/`, import.meta.url);
    for (const file of await readdir(url, { recursive: true })) {
      if (!file.endsWith('.ts')) continue;
      const text = await readFile(new URL(file, url), 'utf8');
      for (const [, name] of text.matchAll(/(?:record|log\.write)\(\s*'([a-zA-Z]+\.[a-zA-Z]+)'/g)) {
        if (name) names.add(name);
      }
    }
  }
  expect([...names].filter((name) => !(name in logEvents))).toEqual([]);
});
