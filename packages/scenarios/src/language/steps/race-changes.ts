import { ResultCode } from '@vanillarelay/core';
import { buildScenarioConfig } from '../build-scenario-config.js';
import { sendChange } from '../send-change.js';
import type { Step } from '../step.js';

/** `race COUNT`: concurrent changes that expect the same version; exactly one must be accepted. */
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
    world.faults.push(`a rejected change got code ${result.code}`);
  });
};
