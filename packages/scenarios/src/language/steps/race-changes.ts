import { ResultCode } from '@vanillarelay/core';
import { buildScenarioConfig } from '../build-scenario-config.js';
import { sendChange } from '../send-change.js';
import type { Step } from '../step.js';

/** `race COUNT`: sends concurrent changes that expect one version; exactly one must succeed. */
export const raceChanges: Step = async (world, [count = '4']) => {
  const dataCentres = [...new Set([...world.processSpecs.values()].map((spec) => spec.dataCentre))];
  const config = buildScenarioConfig(dataCentres, world.context.without);
  const expectedVersion = world.configVersion;
  const results = await Promise.all(
    Array.from({ length: Number(count) }, () =>
      sendChange(world, { type: 'applyConfig', expectedVersion, config }),
    ),
  );
  const accepted = results.filter(({ ok }) => ok).length;
  if (accepted !== 1)
    world.faults.push(`${accepted} changes accepted on version ${expectedVersion}`);
  results.forEach((result) => {
    if (result.ok || result.code === ResultCode.versionConflict) return;
    world.faults.push(`a refused change got code ${result.code}`);
  });
};
