import { checkSettings, type Settings } from '@vanillarelay/config';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { loadJson } from '../context/load-json.js';

/** Creates the command that starts a process of a role. */
export function createProcessCommand<R extends Settings['role']>(
  context: CliContext,
  role: R,
  run: (settings: Extract<Settings, { role: R }>) => Promise<void>,
) {
  return defineCommand({
    meta: { name: role, description: `Start a process of the role ${role}` },
    args: { settings: { type: 'positional', description: 'JSON settings file', required: true } },
    run: async ({ args }) => run(checkSettings(await loadJson(context, args.settings), role)),
  });
}
