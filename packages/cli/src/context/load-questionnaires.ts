import { checkQuestionnaire, type Questionnaire } from '@vanillarelay/config';
import type { CliContext } from './cli-context.js';
import { loadJson } from './load-json.js';
import { withSource } from './with-source.js';

/** Reads and checks the questionnaires of several teams. */
export async function loadQuestionnaires(
  context: Pick<CliContext, 'loadText'>,
  paths: readonly string[],
): Promise<Questionnaire[]> {
  const teams: Questionnaire[] = [];
  for (const path of paths) {
    const value = await loadJson(context, path);
    teams.push(withSource(path, () => checkQuestionnaire(value)));
  }
  return teams;
}
