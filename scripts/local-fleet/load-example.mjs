import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const examples = fileURLToPath(new URL('../../examples/', import.meta.url));

/** Reads an example: its configuration, operator file and the settings of each process. */
export default function loadExample(name) {
  const load = (path) => JSON.parse(readFileSync(join(examples, name, path), 'utf8'));
  const settings = readdirSync(join(examples, name, 'settings')).map((file) =>
    load(join('settings', file)),
  );
  const selectRole = (role) => settings.filter((one) => one.role === role);
  return {
    config: load('fleet-config.json'),
    operator: load('operator.json'),
    operatorPath: join('examples', name, 'operator.json'),
    controls: selectRole('control'),
    entries: selectRole('entry'),
    agents: selectRole('agent'),
  };
}
