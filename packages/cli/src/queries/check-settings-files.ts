import { checkAllSettings, checkSettings } from '@vanillarelay/config';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { loadJson } from '../context/load-json.js';
import { withSource } from '../context/with-source.js';

/** Creates the query `settings check`. */
export function createCheckSettingsQuery(context: CliContext) {
  return defineCommand({
    meta: { name: 'check', description: 'Check settings files, each alone and against each other' },
    args: {
      file: { type: 'positional', description: 'JSON settings files', required: true },
      json: { type: 'boolean', description: 'Print JSON', default: false },
    },
    run: async ({ args }) => {
      const all = [];
      for (const source of args._) {
        const value = await loadJson(context, source);
        all.push({ source, settings: withSource(source, () => checkSettings(value)) });
      }
      checkAllSettings(all);
      const summaries = all.map(({ source, settings: { role, id, address } }) => ({
        source,
        role,
        id,
        address,
      }));
      context.print(
        args.json
          ? JSON.stringify(summaries, null, 2)
          : summaries.map((file) => `${file.source}: ok, ${file.role} ${file.id}`).join('\n'),
      );
    },
  });
}
