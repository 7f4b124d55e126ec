import { ResultCode, type FleetConfig } from '@vanillarelay/core';
import { checkValue } from './check-value.js';
import { fleetConfigSchema } from './fleet-config-schema.js';

/** Validates a JSON value as a fleet configuration; throws a `RelayError` with every issue. */
export function checkFleetConfig(value: unknown): FleetConfig {
  return checkValue(fleetConfigSchema, value, ResultCode.invalidConfig);
}
