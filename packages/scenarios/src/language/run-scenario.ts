import { RelayError } from '@vanillarelay/core';
import type { Mechanism } from '../fleet/mechanism.js';
import { createWorld } from './create-world.js';
import type { Scenario } from './scenario.js';
import { steps } from './steps/steps.js';
import type { World } from './world.js';

interface RunOptions {
  seed: number;
  without?: Mechanism;
}

/**
 * Runs a scenario up to the first failed step (failed checks do not stop it); returns the world,
 * whose `faults` describe the failed checks and the failed step.
 */
export async function runScenario(
  { lines }: Scenario,
  { seed, without }: RunOptions,
): Promise<World> {
  const world = await createWorld({ seed, without: new Set(without ? [without] : []) });
  for (const line of lines) {
    const [verb = '', ...args] = line.split(/\s+/);
    const step = steps[verb];
    if (!step) throw new Error(`unknown verb '${verb}'; known: ${Object.keys(steps).join(', ')}`);
    const faultsBefore = world.faults.length;
    try {
      await world.context.virtual.runUntil(step(world, args));
    } catch (error) {
      // A change that no control node answers counts as a failed step.
      if (!(error instanceof RelayError)) throw error;
      world.faults.push(error.message);
    }
    for (let i = faultsBefore; i < world.faults.length; i += 1) {
      world.faults[i] = `${line}: ${world.faults[i]}`;
    }
    if (world.faults.length > faultsBefore && verb !== 'expect') break;
  }
  return world;
}
