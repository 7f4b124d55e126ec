import { createSeededRandom } from '@vanillarelay/scenarios';
import { expect, it } from 'vitest';
import { createTestFleet } from './create-test-fleet.js';

const firstSeed = Number(process.env.REPLACE_FIRST ?? 1);
const seedCount = Number(process.env.REPLACE_SEEDS ?? 4);
const seeds = Array.from({ length: seedCount }, (_, index) => firstSeed + index);
const stepCount = 10;
const maxMsPerSeed = 60_000;
/** The platform's `CatchUpS`: a VM that has started, or is gone, counts as lost for that long. */
const catchUpMs = 4_000;
const restartMs = 900;

/** Replaces, restarts and wipes daemons of one fleet, one loss at a time. */
function createFaults(seed: number) {
  const random = createSeededRandom(seed * 7_919);
  const disks = random() < 0.7 ? 3 : 5;
  const fleet = createTestFleet({ seed, disks, others: 3, spares: stepCount });
  const { virtual } = fleet;
  const spares = [...fleet.spares];
  const running = fleet.all.slice(0, disks);
  const choose = (ids: readonly string[]) => ids[Math.floor(random() * ids.length)] ?? '';
  const startSuccessor = async (): Promise<string> => {
    const successor = spares.shift() ?? '';
    // The settings of a new VM name seeds that run.
    fleet.setSeeds(running.filter((id) => fleet.find(id).process.isAlive()).slice(0, 3));
    fleet.restart(successor);
    await virtual.run(catchUpMs + random() * 4_000);
    return successor;
  };
  const replace = (id: string, successor: string) =>
    running.splice(running.indexOf(id), 1, successor);

  const loseDisk = async (id: string): Promise<void> => {
    await fleet.loseDisk(id, restartMs);
    await virtual.run(catchUpMs);
  };

  const steps: Record<string, () => Promise<void>> = {
    replacePlanned: async () => {
      const [id, successor] = [choose(running), await startSuccessor()];
      await fleet.stop(id);
      replace(id, successor);
    },
    replaceGone: async () => {
      const [id, successor] = [choose(running), await startSuccessor()];
      fleet.kill(id);
      replace(id, successor);
      await virtual.run(catchUpMs);
    },
    replaceLate: async () => {
      const id = choose(running);
      fleet.kill(id);
      replace(id, await startSuccessor());
    },
    // A VM beside its successor is gone, and no longer counts, when another one loses its disk.
    replaceGoneAndLoseDisk: async () => {
      const [id, successor] = [choose(running), await startSuccessor()];
      fleet.kill(id);
      replace(id, successor);
      await virtual.run(random() < 0.3 ? 0 : random() * 2_500);
      await loseDisk(choose(running));
    },
    loseDisk: () => loseDisk(choose(running)),
    restartPlanned: async () => {
      const id = choose(running);
      await fleet.stop(id);
      fleet.restart(id);
      await virtual.run(catchUpMs);
    },
    restartAll: async () => {
      const before = [...running];
      before.forEach((id) => fleet.find(id).node.startLeaving());
      await virtual.run(random() * 3_000);
      before.forEach(fleet.kill);
      before.forEach((id) => fleet.restart(id));
      await virtual.run(catchUpMs);
    },
    pause: async () => {
      const { process } = fleet.find(choose(running));
      process.freeze();
      await virtual.run(random() * 7_000);
      process.resume();
      await virtual.run(catchUpMs);
    },
  };
  const runStep = async (): Promise<string> => {
    const name = choose(Object.keys(steps));
    await steps[name]?.();
    return name;
  };
  return { fleet, runStep, chooseRunning: () => choose(running) };
}

// Guards against any order of replacements, restarts, lost disks and pauses, one loss at a time, after
// which the group accepts no change or has lost one.
it.each(seeds)(
  'keeps accepted changes over replaced and restarted voters (seed %i)',
  async (seed) => {
    const { fleet, runStep, chooseRunning } = createFaults(seed);
    fleet.startAll();
    await fleet.virtual.run(8_000);
    const names: string[] = [];
    for (let version = 1; version <= stepCount; version += 1) {
      await fleet.put(chooseRunning(), version);
      names.push(await runStep());
      const reader = chooseRunning();
      let read: number | undefined;
      for (let tries = 0; read === undefined && tries < 10; tries += 1) {
        read = await fleet.read(reader);
        if (read === undefined) await fleet.virtual.run(300);
      }
      expect(read, `seed ${seed}: ${names.join(', ')}`).toBe(version);
    }
  },
  maxMsPerSeed,
);
