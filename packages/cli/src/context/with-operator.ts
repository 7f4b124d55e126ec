import type { OperatorClient } from '@vanillarelay/daemon';
import type { CliContext } from './cli-context.js';
import { loadOperatorSettings } from './load-operator-settings.js';
import type { OperatorFlags } from './operator-flags.js';

/** Runs a task with a client of the control nodes, and closes the client. */
export async function withOperator<T>(
  context: CliContext,
  flags: OperatorFlags,
  run: (client: OperatorClient, operator: string) => Promise<T>,
): Promise<T> {
  const settings = await loadOperatorSettings(context, flags);
  const client = context.openOperator(settings);
  try {
    return await run(client, settings.operator);
  } finally {
    client.close();
  }
}
