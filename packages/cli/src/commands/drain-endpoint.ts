import { toId, type EndpointId } from '@vanillarelay/core';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { changeArgs } from './change-args.js';
import { runChange } from './run-change.js';

/** Creates the command `endpoint drain`. */
export function createDrainCommand(context: CliContext) {
  return defineCommand({
    meta: { name: 'drain', description: 'Send no new work to an endpoint' },
    args: {
      id: { type: 'positional', description: 'Endpoint', required: true },
      undo: { type: 'boolean', description: 'Send work to it again', default: false },
      ...changeArgs,
    },
    run: ({ args }) =>
      runChange(context, args, (origin) => ({
        ...origin,
        type: 'drainEndpoint',
        endpoint: toId<EndpointId>(args.id),
        draining: !args.undo,
      })),
  });
}
