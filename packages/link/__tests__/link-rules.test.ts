import {
  createHlc,
  createTimeline,
  type ContactReport,
  type ControlClient,
  type DaemonState,
  type Frame,
} from '@vanillarelay/core';
import { createLink } from '@vanillarelay/link';
import { createSeededRandom, createVirtualClock } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';
import { createViewStore } from '../src/create-view-store.js';
import { isQuorumLost } from '../src/is-quorum-lost.js';

const seed = 12;

const buildState = (version: number, dataCentres: string[] = []): DaemonState =>
  ({
    version,
    config: { dataCentres: Object.fromEntries(dataCentres.map((id) => [id, { region: 'r' }])) },
    dataCentresOut: [],
  }) as unknown as DaemonState;

// Guards against an older state that replaces a newer one when a hub or a peer is behind.
it('applies no older state and no patch for another version', () => {
  const store = createViewStore();
  const steps = [
    [{ state: buildState(5), stateVersion: 5 }, 0],
    [{ state: buildState(4), stateVersion: 4 }, 0],
    [{ patch: { version: 4 }, stateVersion: 4 }, 5],
    [{ patch: { version: 7 }, stateVersion: 7 }, 6],
    [{ patch: { version: 8 }, stateVersion: 8 }, 5],
  ] as const;
  const versions = steps.map(([part, baseVersion]) => {
    store.updateState(part, baseVersion);
    return store.readVersion();
  });
  expect(versions).toEqual([5, 5, 5, 5, 8]);
});

// Guards against a daemon that reads an old frame after a suspension and treats it as new.
it('does not attach on a frame that arrived while the process was frozen', async () => {
  const virtual = createVirtualClock();
  const process = virtual.createProcess('agent');
  const hlc = createHlc(process.clock);
  const answers: ((frame: Frame) => void)[] = [];
  const client = {
    exchange: () =>
      new Promise((resolve) => {
        answers.push(resolve);
      }),
    readQuorum: () => new Promise(() => {}),
  } as unknown as ControlClient;
  const link = createLink({
    ...{ clock: process.clock, random: createSeededRandom(seed), hlc },
    timeline: createTimeline({ hlc, process: 'agent', vm: 'v', dataCentre: 'd' } as never),
    controls: [{ id: 'control', client } as never],
    buildReport: () => ({ daemon: 'agent' }) as never,
  });
  const frame = {
    ...{ heldMs: 500, quorumAgeMs: 10, stateVersion: 1, state: buildState(1), cursor: 'c' },
    ...{
      whole: true,
      more: false,
      members: [],
      removed: [],
      loads: {},
      means: {},
      shares: {},
      at: hlc.read(),
    },
  } as unknown as Frame;
  link.start();
  await virtual.run(500);
  answers.shift()?.(frame);
  await virtual.run(0);
  expect(link.readContact()).toBe('attached');
  process.freeze();
  await virtual.run(30_000);
  answers.shift()?.(frame);
  await virtual.run(0);
  expect(link.readContact()).toBe('isolated');
  link.stop();
});

// Guards against a daemon that relies on its own view alone, or ignores a peer with a quorum.
it('distinguishes a lost quorum from a lost connection by the reports of peers', () => {
  const report = (dataCentre: string, sees: ContactReport['sees']) =>
    ({ dataCentre, sees }) as ContactReport;
  const decide = (dataCentres: string[], reports: ContactReport[], out: string[] = []) =>
    isQuorumLost({
      reports,
      state: { ...buildState(1, dataCentres), dataCentresOut: out } as DaemonState,
      ownDataCentre: 'a' as never,
    });
  expect({
    aloneInOneDataCentre: decide(['a'], []),
    oneDataCentre: decide(['a'], [report('a', 'nothing')]),
    silentDataCentre: decide(['a', 'b', 'c'], [report('b', 'nothing')]),
    silentDataCentreTakenOut: decide(['a', 'b', 'c'], [report('b', 'nothing')], ['c']),
    justStartedPeer: decide(['a', 'b'], [report('b', 'unknown')]),
    onePeerSeesQuorum: decide(['a', 'b'], [report('b', 'nothing'), report('b', 'quorum')]),
    allPeersSeeNone: decide(['a', 'b'], [report('b', 'quorumLost'), report('b', 'nothing')]),
  }).toMatchInlineSnapshot(`
    {
      "allPeersSeeNone": true,
      "aloneInOneDataCentre": false,
      "justStartedPeer": false,
      "oneDataCentre": true,
      "onePeerSeesQuorum": false,
      "silentDataCentre": false,
      "silentDataCentreTakenOut": true,
    }
  `);
});

// Guards against a daemon that counts as attached although it could not apply the hub's state.
it('does not count a quorum from a frame whose state version it did not reach', async () => {
  const virtual = createVirtualClock();
  const hlc = createHlc(virtual.clock);
  const part = { heldMs: 0, quorumAgeMs: 0, cursor: 'c', whole: true, more: false, members: [] };
  const rest = { removed: [], loads: {}, means: {}, shares: {}, at: hlc.read() };
  const answers = [
    { state: buildState(1), stateVersion: 1 },
    { patch: { version: 4 }, stateVersion: 5 },
  ];
  let calls = 0;
  const answer = () => answers[Math.min(calls, 1)];
  const client = {
    exchange: async () => {
      await virtual.clock.wait(500);
      const frame = { ...part, ...rest, ...answer() };
      calls += 1;
      return frame;
    },
    readQuorum: async () => ({ quorumAgeMs: 0, at: hlc.read(), ...answer() }),
  } as unknown as ControlClient;
  const link = createLink({
    ...{ clock: virtual.clock, random: createSeededRandom(seed), hlc },
    timeline: createTimeline({ hlc, process: 'agent', vm: 'v', dataCentre: 'd' } as never),
    controls: [{ id: 'control', client } as never],
    buildReport: () => ({ daemon: 'agent' }) as never,
  });
  link.start();
  await virtual.run(600);
  expect(link.readContact()).toBe('attached');
  await virtual.run(4_000);
  expect(link.readContact()).toBe('isolated');
  link.stop();
});
