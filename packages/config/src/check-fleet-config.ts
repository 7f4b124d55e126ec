import { ResultCode, type FleetConfig } from '@vanillarelay/core';
import { checkValue } from './check-value.js';
import { fleetConfigSchema } from './fleet-config-schema.js';

/** The fleet configuration in a JSON value; throws a `RelayError` with every issue. */
export function checkFleetConfig(value: unknown): FleetConfig {
  return checkValue(fleetConfigSchema, value, ResultCode.invalidConfig);
}
