import { expectations } from '../../checks/expectations.js';
import type { Step } from '../step.js';

/** `expect CHECK [ARGUMENTS]`: records a fault when the check fails. */
export const expectStep: Step = async (world, [name = '', ...args]) => {
  const check = expectations[name];
  if (!check) {
    throw new Error(`unknown check '${name}'; known: ${Object.keys(expectations).join(', ')}`);
  }
  world.faults.push(...(await check(world, args)));
};
