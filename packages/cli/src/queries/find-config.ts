import { RelayError, ResultCode, type FleetConfig } from '@vanillarelay/core';
import type { OperatorClient } from '@vanillarelay/daemon';

/** Finds the fleet configuration of a version, or the newest if no version is given. */
export async function findConfig(client: OperatorClient, version?: string): Promise<FleetConfig> {
  if (version === undefined) return (await client.readState()).config;
  const history = await client.listHistory();
  const change = history.find((entry) => String(entry.version) === version);
  if (change) return change.config;
  const versions = history.map((entry) => entry.version).join(', ');
  throw new RelayError(
    ResultCode.unknownTarget,
    `version: got "${version}", allowed: ${versions || 'none, the history is empty'}`,
    { notRun: true },
  );
}
