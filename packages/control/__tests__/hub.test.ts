import type { Frame, Report } from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { createHubGroup } from './create-hub-group.js';

const seed = 21;
const warmUpMs = 1_300;

const createWarmGroup = async (hubs: number) => {
  const group = createHubGroup({ seed, hubs });
  const account = (requestsPerSecond: number) => ({
    ...{ keyHashes: ['0'.repeat(64)], requestsPerSecond, services: [] },
  });
  await group.propose({
    ...{ type: 'applyConfig', changeId: 'config', operator: 'test', expectedVersion: 0 },
    config: {
      ...{ services: {}, concurrentLoads: 1 },
      dataCentres: { lahore: { region: 'punjab' }, multan: { region: 'punjab' } },
      accounts: { busy: account(100), quiet: account(1_000) },
    },
  });
  await group.virtual.run(warmUpMs);
  return group;
};

// Guards against hubs that each know only the daemons that report to them.
it('merges the membership of all hubs and removes endpoints that none of them hears from', async () => {
  const group = await createWarmGroup(3);
  const lists: Record<string, string[]> = {};
  await group.announce('hub-0', 'a');
  await group.announce('hub-1', 'b');
  await group.virtual.run(700);
  lists.after700 = await group.listMembers('hub-2');
  for (let i = 0; i < 5; i += 1) {
    await group.announce('hub-0', 'a');
    await group.virtual.run(800);
  }
  lists.bSilent = await group.listMembers('hub-2');
  await group.virtual.run(4_000);
  lists.allSilent = await group.listMembers('hub-2');
  expect(lists).toEqual({ after700: ['a', 'b'], bSilent: ['a'], allSilent: [] });
});

// Guards against an endpoint that is unknown to a hub which cannot reach the hub it reports to.
it('forwards what another hub received when two hubs are cut off from each other', async () => {
  const group = await createWarmGroup(3);
  group.network.cut('hub-0', 'hub-1');
  for (let i = 0; i < 8; i += 1) {
    await group.announce('hub-0', 'a');
    await group.virtual.run(700);
  }
  expect(await group.listMembers('hub-1')).toEqual(['a']);
});

// Guards against daemons that lose all endpoints when they switch to a hub that has just started.
it('refuses reports until a restarted hub knows the members', async () => {
  const group = await createWarmGroup(2);
  await group.announce('hub-0', 'a');
  group.findProcess('hub-1').kill();
  await group.virtual.run(200);
  group.start('hub-1');
  const refused = await group.listMembers('hub-1').catch((error: Error) => error.message);
  await group.announce('hub-0', 'a');
  await group.virtual.run(warmUpMs);
  expect([refused, await group.listMembers('hub-1')]).toEqual(['the hub has just started', ['a']]);
});

// Guards against a hub that was suspended and then removes every endpoint for its daemons.
it('does not count its own pause as silence of the endpoints', async () => {
  const group = await createWarmGroup(1);
  await group.announce('hub-0', 'a');
  group.findProcess('hub-0').freeze();
  await group.virtual.run(20_000);
  group.findProcess('hub-0').resume();
  expect(await group.listMembers('hub-0')).toEqual(['a']);
});

// Guards against old or duplicate reports that overwrite newer ones, and against a wrong mean.
it('keeps the newest report and counts all members that may serve in the mean, cold ones too', async () => {
  const group = await createWarmGroup(1);
  await group.propose({
    ...{ type: 'takeOutDataCentre', changeId: 'out', operator: 'test', dataCentre: 'multan' },
  });
  await group.announce('hub-0', 'a', { incarnation: 2, running: 4 });
  await group.announce('hub-0', 'a', { incarnation: 1, running: 200 });
  await group.announce('hub-0', 'b', { sequence: 9, running: 2 });
  await group.announce('hub-0', 'b', { sequence: 9, running: 100 });
  await group.announce('hub-0', 'c', { status: 'leaving', running: 50 });
  await group.announce('hub-0', 'd', { status: 'cold', running: 3 });
  await group.announce('hub-0', 'e', { dataCentre: 'multan' as never, running: 50 });
  await group.virtual.run(100);
  const frame = await group.exchange('hub-0', group.buildReport('reader'));
  const loads = Buffer.from(Object.values(frame.loads)[0] ?? '', 'base64');
  expect({ means: frame.means, loads: [...loads] }).toEqual({
    means: { reports: 3 },
    loads: [4, 2, 50, 3, 50],
  });
});

// Guards against frames that grow with the fleet, and against cursors that miss a change.
it('sends only the changes since the cursor, and everything for a cursor of another run', async () => {
  const group = await createWarmGroup(1);
  await group.announce('hub-0', 'a');
  await group.announce('hub-0', 'b');
  const first = await group.exchange('hub-0', group.buildReport('reader'));
  const read = async (cursor: string) => {
    const { whole, members, removed } = await group.exchange(
      'hub-0',
      group.buildReport('reader', { cursor }),
    );
    return { whole, members: members.map(({ member }) => member.id), removed };
  };
  const same = await read(first.cursor);
  await group.announce('hub-0', 'b', { status: 'leaving' });
  const changed = await read(first.cursor);
  await group.virtual.run(3_500);
  const gone = await read(first.cursor);
  const foreign = await read('hub-0/earlier#3');
  expect({ same, changed, gone, foreign }).toMatchInlineSnapshot(`
    {
      "changed": {
        "members": [
          "b",
        ],
        "removed": [],
        "whole": false,
      },
      "foreign": {
        "members": [],
        "removed": [],
        "whole": true,
      },
      "gone": {
        "members": [],
        "removed": [
          "a",
          "b",
        ],
        "whole": false,
      },
      "same": {
        "members": [],
        "removed": [],
        "whole": false,
      },
    }
  `);
});

// Guards against an endpoint that restarts repeatedly and gets its full share of work each time.
it('damps a flapping endpoint until it has been stable', async () => {
  const group = await createWarmGroup(1);
  const states: boolean[] = [];
  const read = async (incarnation: number) => {
    const { members } = await group.announce('hub-0', 'a', { incarnation });
    states.push(members[0]?.member.damped === true);
  };
  for (let incarnation = 1; incarnation <= 4; incarnation += 1) await read(incarnation);
  for (let i = 0; i < 35; i += 1) {
    await group.virtual.run(1_000);
    await group.announce('hub-0', 'a', { incarnation: 4 });
  }
  await read(4);
  expect(states).toEqual([false, false, false, true, false]);
});

// Guards against a take-out that waits until a held exchange ends, and against early replies without
// a new version.
it('replies at once when the version grows, and holds the exchange otherwise', async () => {
  const group = await createWarmGroup(1);
  const { cursor } = await group.exchange('hub-0', group.buildReport('reader'));
  const startedAt = group.virtual.clock.now();
  const held = group.findHub('hub-0').exchange(group.buildReport('reader', { cursor }), signal());
  await group.virtual.run(100);
  await group.propose({
    ...{ type: 'takeOutDataCentre', changeId: 'out', operator: 'test', dataCentre: 'multan' },
  });
  const frame = await group.virtual.runUntil(held);
  const quiet = await group.exchange('hub-0', group.buildReport('reader', { cursor }));
  expect({
    heldMs: frame.heldMs,
    patch: frame.patch,
    state: frame.state,
    quietHeldMs: Math.round(quiet.heldMs),
    tookMs: Math.round(group.virtual.clock.now() - startedAt - quiet.heldMs),
  }).toMatchInlineSnapshot(`
    {
      "heldMs": 100,
      "patch": {
        "dataCentresOut": [
          "multan",
        ],
        "version": 2,
      },
      "quietHeldMs": 600,
      "state": undefined,
      "tookMs": 100,
    }
  `);
});

// Guards against reporting a change as in force that a daemon of any hub does not have yet.
it('reports the accepted version and the one in force over the daemons of all hubs', async () => {
  const group = await createWarmGroup(2);
  const report = (change: Partial<Report>, hub: string) =>
    group.exchange(hub, group.buildReport('entry-1', change));
  await group.propose({
    ...{ type: 'takeOutDataCentre', changeId: 'out', operator: 'test', dataCentre: 'multan' },
  });
  await report({ stateVersion: 0 }, 'hub-1');
  await group.exchange('hub-0', group.buildReport('entry-0'));
  await group.virtual.run(700);
  const before = group.findHub('hub-0').readRollout();
  await report({}, 'hub-1');
  await group.virtual.run(700);
  const after = group.findHub('hub-0').readRollout();
  await report({ stateVersion: 0 }, 'hub-1');
  await group.virtual.run(11_000);
  const silent = group.findHub('hub-0').readRollout();
  const daemons = group.findHub('hub-0').listDaemons();
  expect({ before, after, silent }).toMatchInlineSnapshot(`
    {
      "after": {
        "accepted": 2,
        "behind": [],
        "inForce": 2,
      },
      "before": {
        "accepted": 2,
        "behind": [
          {
            "daemon": "entry-1",
            "stateVersion": 0,
          },
        ],
        "inForce": 0,
      },
      "silent": {
        "accepted": 2,
        "behind": [],
        "inForce": 2,
      },
    }
  `);
  expect(daemons.map(({ daemon, role, hub, contact }) => [daemon, role, hub, contact])).toEqual([
    ['entry-0', 'entry', 'hub-0', 'attached'],
    ['entry-1', 'entry', 'hub-1', 'attached'],
  ]);
});

// Guards against an account that gets its whole limit at each of many entries.
it('shares the limit of a busy account among the entries of all hubs', async () => {
  const group = await createWarmGroup(2);
  const report = (hub: string, daemon: string, busy: number) =>
    group.exchange(hub, group.buildReport(daemon, { usage: { busy, quiet: 10 } as never }));
  let frames: Frame[] = [];
  for (let i = 0; i < 10; i += 1) {
    frames = [await report('hub-0', 'entry-0', 60), await report('hub-1', 'entry-1', 20)];
    await group.virtual.run(1_000);
  }
  expect(frames.map(({ shares }) => shares)).toMatchInlineSnapshot(`
    [
      {
        "busy": 0.751,
      },
      {
        "busy": 0.251,
      },
    ]
  `);
});

function signal(): AbortSignal {
  return new AbortController().signal;
}
