import { ResultCode } from '@vanillarelay/core';
import { checkAllSettings } from '../check-all-settings.js';
import { checkSettings } from '../check-settings.js';
import { checkValue } from '../check-value.js';
import type { Settings } from '../settings.js';
import { FleetPlan } from './fleet-plan.js';

/** Generates the settings of each process of a plan; throws a `RelayError` when they conflict. */
export function generateSettings(value: unknown): Settings[] {
  const plan = checkValue(FleetPlan, value, ResultCode.invalidSettings);
  const { peerKeys, operatorKeys } = plan;
  const control = plan.control.map(({ id, address }) => ({ id, address }));
  const keys = { peerKeys, operatorKeys };
  const all = [
    ...plan.control.map((planned) => ({
      role: 'control',
      ...planned,
      ...keys,
      dataFolder: `${plan.dataFolder}/${planned.id}`,
      group: control,
    })),
    ...plan.entries.map((planned) => ({ role: 'entry', ...planned, ...keys, control })),
    ...plan.agents.map((planned) => ({ role: 'agent', ...planned, ...keys, control })),
  ].map((settings) => checkSettings(settings));
  checkAllSettings(all.map((settings) => ({ source: settings.id, settings })));
  return all;
}
