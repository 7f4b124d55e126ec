import { checkValue, OperatorSettings } from '@vanillarelay/config';
import { ResultCode } from '@vanillarelay/core';
import type { CliContext } from './cli-context.js';
import { loadJson } from './load-json.js';
import type { OperatorFlags } from './operator-flags.js';

/** Loads the operator's settings from the file and overrides them with flags. */
export async function loadOperatorSettings(
  context: Pick<CliContext, 'loadText'>,
  flags: OperatorFlags,
): Promise<OperatorSettings> {
  const file = flags.fleet ? ((await loadJson(context, flags.fleet)) as object) : {};
  const flagValues = {
    operator: flags.operator,
    operatorKey: flags.key,
    control: flags.control?.split(','),
  };
  const overrides = Object.entries(flagValues).filter(([, value]) => value !== undefined);
  const merged = { ...file, ...Object.fromEntries(overrides) };
  return checkValue(OperatorSettings, merged, ResultCode.invalidSettings);
}
