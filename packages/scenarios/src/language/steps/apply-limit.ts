import { toId, type AccountId } from '@vanillarelay/core';
import { buildScenarioConfig } from '../build-scenario-config.js';
import { sendChange } from '../send-change.js';
import type { Step } from '../step.js';

/** `apply COUNT`: changes the account's request limit that many times, one after the other. */
export const applyLimit: Step = async (world, [count = '1']) => {
  const dataCentres = [...new Set([...world.processSpecs.values()].map((spec) => spec.dataCentre))];
  for (let index = 0; index < Number(count); index += 1) {
    const config = buildScenarioConfig(dataCentres, world.context.without);
    const account = config.accounts[toId<AccountId>('inspectors')]!;
    account.requestsPerSecond = 10_000 + world.changes;
    const expectedVersion = world.configVersion;
    const result = await sendChange(world, { type: 'applyConfig', expectedVersion, config });
    if (!result.ok) world.faults.push(`change was refused: ${result.message}`);
  }
};
