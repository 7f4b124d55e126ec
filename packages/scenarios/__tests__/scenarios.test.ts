import { loadScenarios, runScenario } from '@vanillarelay/scenarios';
import { describe, expect, it } from 'vitest';

describe.each(loadScenarios())('scenario $name, promise $promise', (scenario) => {
  // Guards against violations that the checks of the scenario find; its header lists the failures.
  it.each(scenario.seeds)('holds with seed %i', async (seed) => {
    const { faults } = await runScenario(scenario, { seed });
    expect(faults).toEqual([]);
  });

  // Guards against a scenario that passes even when the mechanism that it tests is disabled.
  it(`fails without ${scenario.without}`, async () => {
    const faults: string[] = [];
    for (const seed of scenario.seeds) {
      const world = await runScenario(scenario, { seed, without: scenario.without });
      faults.push(...world.faults);
      if (faults.length > 0) break;
    }
    expect(faults.length).toBeGreaterThan(0);
  });
});
