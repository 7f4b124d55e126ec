import { toId, type DataCentreId } from '@vanillarelay/core';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { changeArgs } from './change-args.js';
import { runChange } from './run-change.js';

interface DataCentreCommand {
  name: 'take-out' | 'bring-back';
  description: string;
  type: 'takeOutDataCentre' | 'bringBackDataCentre';
}

/** Creates a command that takes a data centre out or brings it back. */
export function createDataCentreCommand(
  context: CliContext,
  { name, description, type }: DataCentreCommand,
) {
  return defineCommand({
    meta: { name, description },
    args: {
      id: { type: 'positional', description: 'Data centre', required: true },
      ...changeArgs,
    },
    run: ({ args }) =>
      runChange(context, args, (origin) => ({
        ...origin,
        type,
        dataCentre: toId<DataCentreId>(args.id),
      })),
  });
}
