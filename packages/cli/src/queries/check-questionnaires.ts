import { generateConfig } from '@vanillarelay/config';
import { defineCommand } from 'citty';
import type { CliContext } from '../context/cli-context.js';
import { loadQuestionnaires } from '../context/load-questionnaires.js';

/** Creates the query `questionnaire check`. */
export function createCheckQuestionnaireQuery(context: CliContext) {
  return defineCommand({
    meta: { name: 'check', description: 'Check questionnaires, each alone and all together' },
    args: {
      file: { type: 'positional', description: 'JSON questionnaires', required: true },
      json: { type: 'boolean', description: 'Print JSON', default: false },
    },
    run: async ({ args }) => {
      const teams = await loadQuestionnaires(context, args._);
      generateConfig(teams);
      const summaries = teams.map(({ team, services, accounts }, index) => ({
        source: args._[index],
        team,
        services: services.length,
        accounts: accounts.length,
      }));
      context.print(
        args.json
          ? JSON.stringify(summaries, null, 2)
          : summaries
              .map(
                (item) =>
                  `${item.source}: ok, ${item.team}, ${item.services} services, ${item.accounts} accounts`,
              )
              .join('\n'),
      );
    },
  });
}
