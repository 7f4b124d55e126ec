import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const examples = fileURLToPath(new URL('../../examples/', import.meta.url));

const addToPorts = (text, offset) =>
  text.replace(/(127\.0\.0\.1:)(\d+)/g, (_, host, port) => `${host}${Number(port) + offset}`);

/**
 * Loads an example: its configuration, operator file and the settings of each process. The offset
 * is added to all ports, so that two fleets can run on one machine.
 */
export default function loadExample(name, portOffset = 0) {
  const load = (path) =>
    JSON.parse(addToPorts(readFileSync(join(examples, name, path), 'utf8'), portOffset));
  const settings = readdirSync(join(examples, name, 'settings')).map((file) =>
    load(join('settings', file)),
  );
  const selectRole = (role) => settings.filter((each) => each.role === role);
  return {
    config: load('fleet-config.json'),
    operator: load('operator.json'),
    controls: selectRole('control'),
    entries: selectRole('entry'),
    agents: selectRole('agent'),
  };
}
