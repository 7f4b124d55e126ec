import { readdirSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { checkQuestionnaire, generateConfig, generateSettings } from '@vanillarelay/config';
import { expect, it } from 'vitest';

const examples = fileURLToPath(new URL('../../../examples', import.meta.url));
const loadJson = (path: string) => JSON.parse(readFileSync(`${examples}/${path}`, 'utf8'));

// Guards against committed examples that no longer match the generator, from which a team would
// start with wrong files.
it.each(['qureshi', 'tremblay'])('generates the committed files of %s', (example) => {
  const team = checkQuestionnaire(loadJson(`${example}/questionnaire.json`));
  expect(loadJson(`${example}/fleet-config.json`)).toEqual(generateConfig([team]));
  const settings = generateSettings(loadJson(`${example}/plan.json`));
  expect(readdirSync(`${examples}/${example}/settings`).sort()).toEqual(
    settings.map(({ id }) => `${id}.json`).sort(),
  );
  settings.forEach((processSettings) => {
    expect(loadJson(`${example}/settings/${processSettings.id}.json`)).toEqual(processSettings);
  });
});

// Guards against two teams of one fleet that use the same name for an account or service.
it('combines the questionnaires of the teams of one fleet', () => {
  const [first, second] = ['qureshi', 'tremblay'].map((example) =>
    checkQuestionnaire(loadJson(`${example}/questionnaire.json`)),
  ) as [ReturnType<typeof checkQuestionnaire>, ReturnType<typeof checkQuestionnaire>];
  const config = generateConfig([first, second]);
  expect(Object.keys(config.services)).toEqual([
    'reports',
    'permits',
    'candy-assistant',
    'ordering',
  ]);
  expect(config.concurrentLoads).toBe(4);
  expect(() => generateConfig([first, first])).toThrowErrorMatchingSnapshot();
});

// Guards against contradictory answers, from which wrong rules would be generated.
it('refuses inconsistent answers', () => {
  const team = loadJson('qureshi/questionnaire.json');
  const permits = team.services[1];
  permits.requests[1].harmfulIfDoneTwice = true;
  permits.requests[0].callerWaitsSeconds = 0;
  expect(() => checkQuestionnaire(team)).toThrowErrorMatchingSnapshot();
  Object.assign(team, loadJson('qureshi/questionnaire.json'));
  team.services[0].replicas.karachi = 1;
  team.accounts[0].uses = ['report'];
  team.accounts[1].trade = 'sweets';
  team.accounts[2].name = team.accounts[3].name;
  expect(() => checkQuestionnaire(team)).toThrowErrorMatchingSnapshot();
});
