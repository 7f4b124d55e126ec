import { toId, type DataCentreId } from '@vanillarelay/core';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { changeArgs } from './change-args.js';
import { runChange } from './run-change.js';

/** Makes the command `data-centre take-out`. */
export function createTakeOutCommand(context: CliContext) {
  return defineCommand({
    meta: { name: 'take-out', description: 'Send no new work to a data centre' },
    args: {
      id: { type: 'positional', description: 'Data centre', required: true },
      ...changeArgs,
    },
    run: ({ args }) =>
      runChange(context, args, (origin) => ({
        ...origin,
        type: 'takeOutDataCentre',
        dataCentre: toId<DataCentreId>(args.id),
      })),
  });
}
