import type { DataCentreId } from '@vanillarelay/core';
import { expect, it } from 'vitest';
import { applySharedCommand } from '../src/state/apply-shared-command.js';
import { emptySharedState } from '../src/state/empty-shared-state.js';
import type { DataCentreCommand } from '../src/state/data-centre-command.js';
import { runOrderModel } from './run-order-model.js';

const firstSeed = Number(process.env.ORDER_FIRST ?? 1);
const seedCount = Number(process.env.ORDER_SEEDS ?? 200);
const maxMsPerSeed = 600;

const dataCentre = 'dc' as DataCentreId;
const takeOut = (base?: number): DataCentreCommand => ({
  ...{ type: 'takeOutDataCentre', dataCentre },
  ...(base === undefined ? {} : { base }),
});
const bringBack = (base?: number): DataCentreCommand => ({
  ...takeOut(base),
  type: 'bringBackDataCentre',
});

/** Applies commands in order, from index 1; returns the outcome of each and the data centres out. */
const applyAll = (commands: DataCentreCommand[]) => {
  let state = emptySharedState;
  const outcomes = commands.map((command, position) => {
    try {
      state = applySharedCommand(state, command, position + 1);
      return state.dataCentresOut.length > 0 ? 'out' : 'in';
    } catch (error) {
      return (error as Error).message;
    }
  });
  return outcomes;
};

// Guards against an order that undoes a later one, which was acknowledged.
it('drops an order that was built on a state before the last order', () => {
  const cases = {
    'a late order': [takeOut(0), bringBack(1), takeOut(2), bringBack(1)],
    'a late order after one that changed nothing': [takeOut(0), takeOut(1), bringBack(1)],
    'a resent order': [takeOut(0), takeOut(0), bringBack(2), bringBack(2)],
    'orders of an earlier version': [takeOut(), bringBack(), takeOut()],
    'orders for different data centres': [
      takeOut(0),
      { ...takeOut(0), dataCentre: 'other' as DataCentreId },
      bringBack(1),
    ],
  };
  const outcomes = Object.entries(cases).map(([name, commands]) => [name, applyAll(commands)]);
  expect(outcomes).toMatchSnapshot();
});

/** Plays one schedule for each seed. */
const playSchedules = async (): Promise<void> => {
  const violations: string[] = [];
  let acknowledged = 0;
  for (let seed = firstSeed; seed < firstSeed + seedCount; seed += 1) {
    const result = await runOrderModel(seed);
    violations.push(...result.violations);
    acknowledged += result.acknowledged;
  }
  expect(violations).toEqual([]);
  expect(acknowledged).toBeGreaterThan(seedCount);
};

// Guards against an order that is carried out after its sender has given it up and gone elsewhere.
it(
  'undoes no acknowledged order in random schedules of pauses and retries',
  playSchedules,
  seedCount * maxMsPerSeed,
);

// Guards against orders that count as late although nothing is.
it('acknowledges every order at its first call while nothing pauses', async () => {
  const { violations, calls, acknowledged } = await runOrderModel(1, { hasPauses: false });
  expect([violations, acknowledged > 10, calls - acknowledged]).toEqual([[], true, 0]);
});
