import { readdirSync, readFileSync } from 'node:fs';
import { parseScenario } from './language/parse-scenario.js';
import type { Scenario } from './language/scenario.js';

const folder = new URL('../scenarios/', import.meta.url);
const ending = '.scenario';

/** Reads all scenario files, in the order of their promises. */
export function loadScenarios(): Scenario[] {
  return readdirSync(folder)
    .filter((file) => file.endsWith(ending))
    .map((file) =>
      parseScenario(file.slice(0, -ending.length), readFileSync(new URL(file, folder), 'utf8')),
    )
    .sort((a, b) => a.promise - b.promise || (a.name < b.name ? -1 : 1));
}
