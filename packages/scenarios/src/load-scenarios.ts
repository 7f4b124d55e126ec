import { readdirSync, readFileSync } from 'node:fs';
import { parseScenario } from './language/parse-scenario.js';
import type { Scenario } from './language/scenario.js';

const folder = new URL('../scenarios/', import.meta.url);
const extension = '.scenario';

/** Loads all scenario files, sorted by the invariant that they test. */
export function loadScenarios(): Scenario[] {
  return readdirSync(folder)
    .filter((file) => file.endsWith(extension))
    .map((file) =>
      parseScenario(file.slice(0, -extension.length), readFileSync(new URL(file, folder), 'utf8')),
    )
    .sort((a, b) => a.promise - b.promise || (a.name < b.name ? -1 : 1));
}
