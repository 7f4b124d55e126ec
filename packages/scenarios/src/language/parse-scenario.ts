import type { Mechanism } from '../fleet/mechanism.js';
import type { Scenario } from './scenario.js';

/** Parses a scenario file: header lines (`# name: value`), then one step a line. */
export function parseScenario(name: string, text: string): Scenario {
  const readHeader = (key: string): string =>
    new RegExp(`^# ${key}: (.+)$`, 'm').exec(text)?.[1] ?? '';
  const lines = text
    .split('\n')
    .map((line) => line.trim())
    .filter((line) => line !== '' && !line.startsWith('#'));
  return {
    name,
    promise: Number(readHeader('promise')),
    failures: readHeader('failures'),
    seeds: readHeader('seeds').split(' ').map(Number),
    without: readHeader('without') as Mechanism,
    lines,
  };
}
