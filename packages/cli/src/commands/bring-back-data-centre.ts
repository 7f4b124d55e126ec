import { toId, type DataCentreId } from '@vanillarelay/core';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { changeArgs } from './change-args.js';
import { runChange } from './run-change.js';

/** Makes the command `data-centre bring-back`. */
export function createBringBackCommand(context: CliContext) {
  return defineCommand({
    meta: { name: 'bring-back', description: 'Send work to a data centre again' },
    args: {
      id: { type: 'positional', description: 'Data centre', required: true },
      ...changeArgs,
    },
    run: ({ args }) =>
      runChange(context, args, (origin) => ({
        ...origin,
        type: 'bringBackDataCentre',
        dataCentre: toId<DataCentreId>(args.id),
      })),
  });
}
