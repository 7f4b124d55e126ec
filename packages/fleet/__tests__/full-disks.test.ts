import { createSeededRandom } from '@vanillarelay/scenarios';
import { describe, expect, it } from 'vitest';
import { createTestFleet } from './create-test-fleet.js';

/** Other seeds can be played by hand. */
const { FULL_DISKS_FIRST = '1', FULL_DISKS_SEEDS = '10' } = process.env;
const seeds = Array.from(
  { length: Number(FULL_DISKS_SEEDS) },
  (_, index) => Number(FULL_DISKS_FIRST) + index,
);
/** Time within which the users' platform requires an acknowledgement, in milliseconds. */
const acknowledgeMs = 4_000;
/** Time within which the users' platform requires service after a fault, in milliseconds. */
const recoverMs = 12_000;
/** Time within which the users' platform requires a configuration to be in force, in milliseconds. */
const inForceMs = 2_000;
const stepMs = 50;
const snapshotBytes = 3_000;

interface Outcome {
  /** Highest version that was acknowledged. */
  acknowledged: number;
  sent: number;
}

/** Fills one disk after another, each for a while, beside changes, kills and lost disks. */
async function playFullDisks(fleet: ReturnType<typeof createTestFleet>, disks: number) {
  const random = createSeededRandom(fleet.seed + 5_000);
  const outcome: Outcome = { acknowledged: 0, sent: 0 };
  const pick = (count: number) => Math.floor(random() * count);

  const send = () => {
    outcome.sent += 1;
    const version = outcome.sent;
    const daemon = fleet.all[pick(fleet.all.length)] ?? '';
    const source = `config ${version} ${'x'.repeat(pick(600))}`;
    fleet
      .find(daemon)
      .node.propose({ type: 'putConfig', version, source })
      .then(({ ok }) => {
        if (ok) outcome.acknowledged = Math.max(outcome.acknowledged, version);
      })
      .catch(() => {});
  };

  const run = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += stepMs) {
      if (random() < 0.3) send();
      await fleet.virtual.run(stepMs);
    }
  };

  const restart = async (id: string, isWiped: boolean) => {
    fleet.kill(id);
    if (isWiped) fleet.wipe(id);
    await run(pick(1_500));
    fleet.restart(id);
  };

  const rounds = 3 + pick(4);
  for (let round = 0; round < rounds; round += 1) {
    const id = fleet.all[random() < 0.3 ? pick(disks) : round % disks] ?? '';
    const isRestarted = random() < 0.25;
    if (isRestarted && random() < 0.5) await restart(id, random() < 0.4);
    fleet.setFull(id, true);
    await run(pick(3_000));
    if (isRestarted) await restart(id, false);
    await run(200 + pick(3_000));
    fleet.setFull(id, false);
    await run(pick(2_500));
  }
  return outcome;
}

async function expectWhole(fleet: ReturnType<typeof createTestFleet>, disks: number, last: number) {
  const startedAt = fleet.virtual.clock.monotonic();
  await fleet.put('daemon-0', last + 1);
  expect(fleet.virtual.clock.monotonic() - startedAt).toBeLessThanOrEqual(acknowledgeMs);
  await fleet.virtual.run(inForceMs);
  const ids = fleet.all.slice(0, disks);
  const members = ids
    .map((id) => fleet.find(id).node.readControlSummary())
    .map((summary) => summary?.members.map(({ id, role }) => `${id} ${role}`).sort());
  expect(members).toEqual(ids.map(() => ids.map((id) => `${id} voter`)));
  expect(fleet.all.map(fleet.readVersion)).toEqual(fleet.all.map(() => last + 1));
}

const countDisks = (seed: number) => (seed % 2 === 0 ? 5 : 3);

async function startSettled(seed: number) {
  const fleet = createTestFleet({ seed, disks: countDisks(seed), others: 3, snapshotBytes });
  fleet.startAll();
  await fleet.virtual.run(8_000);
  return fleet;
}

describe.each(seeds)('control nodes whose disks are full, one after another (seed %i)', (seed) => {
  // Guards against changes that are refused for good after full disks have room again.
  it('accepts changes again, with the whole group', async () => {
    const fleet = await startSettled(seed);
    const { sent } = await playFullDisks(fleet, countDisks(seed));
    await fleet.virtual.run(recoverMs);
    await expectWhole(fleet, countDisks(seed), sent);
  });

  // Guards against losing an acknowledged change when all VMs lose power while a disk was full.
  it('keeps what it acknowledged when all daemons are killed', async () => {
    const fleet = await startSettled(seed);
    const { acknowledged } = await playFullDisks(fleet, countDisks(seed));
    fleet.all.forEach(fleet.kill);
    fleet.all.forEach((id) => fleet.restart(id));
    await fleet.virtual.run(recoverMs);
    fleet.all.forEach((id) => expect(fleet.readVersion(id)).toBeGreaterThanOrEqual(acknowledged));
  });

  // Guards against a group that is never formed, or not whole, when disks are full at first.
  it('forms the whole group although disks are full at the first start', async () => {
    const disks = countDisks(seed);
    const random = createSeededRandom(seed + 9_000);
    const fleet = createTestFleet({ seed, disks, others: 3, snapshotBytes });
    fleet.startAll();
    for (let round = 0; round < 3; round += 1) {
      const id = `daemon-${Math.floor(random() * disks)}`;
      fleet.setFull(id, true);
      await fleet.virtual.run(200 + random() * 4_000);
      fleet.setFull(id, false);
      await fleet.virtual.run(random() * 1_000);
    }
    await fleet.virtual.run(recoverMs);
    await expectWhole(fleet, disks, 0);
  });

  // Guards against endpoints that are no longer kept once a disk was full.
  it('keeps the endpoints that were announced while disks were full', async () => {
    const fleet = createTestFleet({ seed, others: 1 });
    fleet.startAll();
    await fleet.virtual.run(8_000);
    const record = fleet.buildRecord();
    fleet.setFull('daemon-0', true);
    await fleet.virtual.runUntil(fleet.find('daemon-3').node.announce(record));
    await fleet.virtual.run(3_000);
    fleet.setFull('daemon-0', false);
    await fleet.virtual.run(2_000);
    fleet.all.forEach(fleet.kill);
    fleet.restart('daemon-0');
    await fleet.virtual.run(1_000);
    expect(fleet.find('daemon-0').table.find(record.id)?.record.state).toBe('ready');
  });
});
