import { generateSettings } from '@vanillarelay/config';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { loadJson } from '../context/load-json.js';

/** Creates the command `settings generate`. */
export function createGenerateSettingsCommand(context: CliContext) {
  return defineCommand({
    meta: {
      name: 'generate',
      description: 'Write the settings file of each process in a deployment plan',
    },
    args: {
      file: { type: 'positional', description: 'JSON plan', required: true },
      out: { type: 'string', description: 'Folder to write to', required: true },
    },
    run: async ({ args }) => {
      const all = generateSettings(await loadJson(context, args.file));
      for (const settings of all) {
        const path = `${args.out}/${settings.id}.json`;
        await context.writeText(path, `${JSON.stringify(settings, null, 2)}\n`);
      }
      context.print(`${all.length} files written to ${args.out}`);
    },
  });
}
