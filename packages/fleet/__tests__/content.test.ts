import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { applyPatch } from '../src/content/apply-patch.js';
import { buildPatch } from '../src/content/build-patch.js';
import { createContent } from '../src/content/create-content.js';
import { createContentReceiver } from '../src/content/create-content-receiver.js';
import { createContentStore } from '../src/content/create-content-store.js';
import { emptyContent } from '../src/content/empty-content.js';
import { emptySharedState } from '../src/state/empty-shared-state.js';
import { createStateReceiver } from '../src/sync/create-state-receiver.js';

const seed = 17;
const routes = Array.from({ length: 900 }, (_, index) => ({
  Name: `route-${index}`,
  Authority: `host-${index * 7919}.example`,
  PathPrefix: `/path-${index * 104_729}/`,
  TimeoutMs: 3_000,
}));
const buildSource = (version: number, list: object[]) =>
  JSON.stringify({ Version: version, Routes: list });

describe('a patch', () => {
  // Guards against a configuration that differs from the one that the operator sent.
  it('rebuilds the target from any base', () => {
    const text = fc.oneof(
      fc.string({ unit: 'binary', maxLength: 60 }),
      fc.json(),
      fc
        .array(fc.constantFrom('{"a":1},', '{"b":2},', '}', '{'), { maxLength: 40 })
        .map((parts) => parts.join('')),
    );
    const check = (base: string, target: string) => {
      const patch = buildPatch(base, target);
      expect(applyPatch(base, JSON.parse(JSON.stringify(patch)) as typeof patch)).toBe(target);
    };
    fc.assert(fc.property(text, text, check), { seed, numRuns: 500 });
  });

  // Guards against small changes whose size follows the configuration and not the change.
  it('is as large as the change', () => {
    const base = buildSource(1, routes);
    const changed = routes.map((route, index) =>
      index === 450 ? { ...route, TimeoutMs: 1 } : route,
    );
    const measure = (list: object[]) =>
      JSON.stringify(buildPatch(base, buildSource(2, list))).length;
    expect(base.length).toBeGreaterThan(80_000);
    expect({
      changed: measure(changed),
      removed: measure(routes.filter((_, index) => index !== 300)),
      added: measure([...routes, { Name: 'new' }]),
      moved: measure([...routes.slice(1), ...routes.slice(0, 1)]),
    }).toMatchSnapshot();
  });
});

describe('a content that is sent in parts', () => {
  const target = createContent(buildSource(2, routes));
  const later = createContent(buildSource(3, routes.slice(1)));

  // Guards against a transfer that begins again with the first byte at every hub.
  it('goes on at another hub where it stopped', () => {
    const receiver = createContentReceiver(() => emptyContent);
    const sent: number[] = [];
    for (let received; !received;) {
      const hub = createContentStore();
      hub.add(target);
      const position = receiver.readPosition();
      const part = hub.buildNextPart(target, {
        heldHash: emptyContent.hash,
        ...(position ? { incoming: position } : {}),
      });
      if (!part) throw new Error('no part was sent');
      sent.push(part.offset);
      received = receiver.receive(part);
      if (received) expect(received).toEqual(target);
    }
    expect(sent).toMatchSnapshot();
  });

  // Guards against a daemon that never completes any version while new ones keep coming.
  it('is completed although a newer one has come', () => {
    const hub = createContentStore();
    const receiver = createContentReceiver(hub.find);
    hub.add(target);
    const first = hub.buildNextPart(target, { heldHash: emptyContent.hash });
    if (first) receiver.receive(first);
    hub.add(later);
    const incoming = receiver.readPosition();
    if (!incoming) throw new Error('nothing was received');
    const next = hub.buildNextPart(later, { heldHash: emptyContent.hash, incoming });
    expect(next).toMatchObject({ hash: target.hash, offset: incoming.offset });
  });

  // Guards against a damaged content that comes into force.
  it('is refused when its hash is another', () => {
    const store = createContentStore();
    const receiver = createContentReceiver(() => emptyContent);
    const part = store.buildPart(emptyContent, createContent('a short one'), 0);
    expect(() => receiver.receive({ ...part, text: 'a shorter 1' })).toThrow('is damaged');
    expect(receiver.readPosition()).toBeUndefined();
  });

  // Guards against parts out of order, or of another transfer, that are joined.
  it('ignores a part that does not continue what was received', () => {
    const store = createContentStore();
    const receiver = createContentReceiver(() => emptyContent);
    const buildPart = (offset: number) => store.buildPart(emptyContent, target, offset);
    const { totalLength, text } = buildPart(0);
    expect(receiver.receive(buildPart(text.length))).toBeUndefined();
    expect(receiver.readPosition()).toBeUndefined();
    receiver.receive(buildPart(0));
    receiver.receive(buildPart(0));
    receiver.receive(buildPart(totalLength - 1));
    expect(receiver.readPosition()?.offset).toBe(text.length);
  });

  // Guards against a transfer that goes on although its state has arrived by another way.
  it('is given up once the daemon holds a newer state', () => {
    const held = { ...emptySharedState };
    const contents = createContentStore();
    const receiver = createStateReceiver({
      clock: { monotonic: () => 0 },
      record: () => {},
      ...{ readHeld: () => held, findContent: contents.find },
    });
    const { source, ...content } = target;
    const summary = {
      ...content,
      index: 1,
      version: 1,
      dataCentresOut: [],
      orderIndexes: {},
      rollouts: {},
      rolloutStarts: {},
    };
    receiver.receive(summary, contents.buildPart(emptyContent, target, 0));
    expect(receiver.readPosition().incoming).toBeDefined();
    contents.add(target);
    expect(receiver.receive(summary)).toEqual({ ...summary, source });
    expect(receiver.readPosition().incoming).toBeUndefined();
  });

  // Guards against a hub whose memory grows with every change.
  it('is forgotten by the hub after a number of newer ones', () => {
    const store = createContentStore();
    store.add(target);
    for (let version = 0; version < 16; version += 1) store.add(createContent(`v${version}`));
    expect(store.find(target.hash)).toBeUndefined();
    expect(store.buildNextPart(later, { heldHash: target.hash })?.baseHash).toBe(emptyContent.hash);
  });
});
