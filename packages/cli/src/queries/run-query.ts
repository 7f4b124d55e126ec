import type { OperatorClient } from '@vanillarelay/daemon';
import type { CliContext } from '../context/cli-context.js';
import type { OperatorFlags } from '../context/operator-flags.js';
import { withOperator } from '../context/with-operator.js';

/** Reads a value from the control nodes and prints it, as JSON or as text. */
export async function runQuery<T>(
  context: CliContext,
  flags: OperatorFlags,
  read: (client: OperatorClient) => Promise<T>,
  format: (value: T) => string,
): Promise<void> {
  const value = await withOperator(context, flags, read);
  context.print(flags.json ? JSON.stringify(value, null, 2) : format(value));
}
