import { toId, type Fingerprint } from '@vanillarelay/core';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { changeArgs } from './change-args.js';
import { runChange } from './run-change.js';

/** Creates the command `mark lift`. */
export function createLiftMarkCommand(context: CliContext) {
  return defineCommand({
    meta: { name: 'lift', description: 'Lift the crash mark of a request content' },
    args: {
      id: { type: 'positional', description: 'Fingerprint of the mark', required: true },
      ...changeArgs,
    },
    run: ({ args }) =>
      runChange(context, args, (origin) => ({
        ...origin,
        type: 'liftMark',
        fingerprint: toId<Fingerprint>(args.id),
      })),
  });
}
