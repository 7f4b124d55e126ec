import { toId, type EndpointId } from '@vanillarelay/core';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { changeArgs } from './change-args.js';
import { runChange } from './run-change.js';

/** Creates the command `engine order`. */
export function createOrderCommand(context: CliContext) {
  return defineCommand({
    meta: { name: 'order', description: 'Order an engine to load a model or change its role' },
    args: {
      id: { type: 'positional', description: 'Endpoint', required: true },
      action: {
        type: 'enum',
        description: 'Action that the engine performs',
        options: ['loadModel', 'loadAdapter', 'changeRole'],
        required: true,
      },
      target: { type: 'string', description: 'Model, adapter or role', required: true },
      ...changeArgs,
    },
    run: ({ args }) =>
      runChange(context, args, (origin) => ({
        ...origin,
        type: 'orderEngine',
        endpoint: toId<EndpointId>(args.id),
        action: args.action,
        target: args.target,
      })),
  });
}
