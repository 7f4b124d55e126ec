import { RelayError, toId, type ChangeId, type Command } from '@vanillarelay/core';
import type { CliContext } from '../context/cli-context.js';
import type { OperatorFlags } from '../context/operator-flags.js';
import { parseCount } from '../context/parse-count.js';
import { withOperator } from '../context/with-operator.js';
import type { ChangeReport } from './change-report.js';
import { formatChangeReport } from './format-change-report.js';
import { waitUntilInForce } from './wait-until-in-force.js';

interface ChangeFlags extends OperatorFlags {
  'change-id'?: string | undefined;
  'in-force-ms': string;
}

/**
 * Proposes a change, waits until all daemons have applied it or the time limit is over, and prints
 * a report. Throws if the change is refused.
 */
export async function runChange(
  context: CliContext,
  flags: ChangeFlags,
  buildCommand: (origin: { changeId: ChangeId; operator: string }) => Command,
): Promise<void> {
  const changeId = flags['change-id']
    ? toId<ChangeId>(flags['change-id'])
    : context.createChangeId();
  const waitLimitMs = parseCount('in-force-ms', flags['in-force-ms']);
  const report = await withOperator(context, flags, async (client, operator) => {
    const result = await client.propose(buildCommand({ changeId, operator }));
    if (!result.ok) {
      throw new RelayError(result.code, `${result.message} (change id ${changeId})`, {
        notRun: true,
      });
    }
    const { daemons, behind } = await waitUntilInForce(context, client, result.index, waitLimitMs);
    const { configVersion } = (result.value ?? {}) as { configVersion?: number };
    return {
      changeId,
      index: result.index,
      configVersion: configVersion ?? (await client.readState()).configVersion,
      inForce: behind.length === 0,
      daemons,
      behind,
    } satisfies ChangeReport;
  });
  context.print(flags.json ? JSON.stringify(report, null, 2) : formatChangeReport(report));
}
