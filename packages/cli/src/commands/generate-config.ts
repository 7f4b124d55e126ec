import { generateConfig } from '@vanillarelay/config';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { loadQuestionnaires } from '../context/load-questionnaires.js';

/** Creates the command `questionnaire generate`. */
export function createGenerateCommand(context: CliContext) {
  return defineCommand({
    meta: { name: 'generate', description: 'Generate the fleet configuration from questionnaires' },
    args: {
      file: { type: 'positional', description: 'JSON questionnaires', required: true },
      out: { type: 'string', description: 'File to write; the standard output if absent' },
    },
    run: async ({ args }) => {
      const config = generateConfig(await loadQuestionnaires(context, args._));
      const text = JSON.stringify(config, null, 2);
      if (args.out) await context.writeText(args.out, `${text}\n`);
      else context.print(text);
    },
  });
}
