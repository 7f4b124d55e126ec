import { ResultCode } from '@vanillarelay/core';
import { buildScenarioConfig } from '../build-scenario-config.js';
import { sendChange } from '../send-change.js';
import type { Step } from '../step.js';

/** `race COUNT`: operators change the configuration at once under one version; one must win. */
export const raceChanges: Step = async (world, [count = '4']) => {
  const dataCentres = [...new Set([...world.places.values()].map((place) => place.dataCentre))];
  const config = buildScenarioConfig(dataCentres, world.context.without);
  const expectedVersion = world.configVersion;
  const results = await Promise.all(
    Array.from({ length: Number(count) }, () =>
      sendChange(world, { type: 'applyConfig', expectedVersion, config }),
    ),
  );
  const winners = results.filter(({ ok }) => ok).length;
  if (winners !== 1) world.faults.push(`${winners} changes won under version ${expectedVersion}`);
  results.forEach((result) => {
    if (result.ok || result.code === ResultCode.versionConflict) return;
    world.faults.push(`a loser got code ${result.code}`);
  });
};
