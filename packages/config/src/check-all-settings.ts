import { RelayError, ResultCode } from '@vanillarelay/core';
import type { Settings } from './settings.js';

interface NamedSettings {
  /** File or process id by which messages name the settings. */
  source: string;
  settings: Settings;
}

/** Checks the settings of several processes for conflicts; throws a `RelayError` that lists all. */
export function checkAllSettings(all: readonly NamedSettings[]): void {
  const lines = [
    ...listDuplicates(all, 'id', ({ id }) => [id]),
    ...listDuplicates(all, 'address', listAddresses),
    ...listGroupDifferences(all),
  ];
  if (lines.length === 0) return;
  throw new RelayError(ResultCode.invalidSettings, lines.join('\n'), { notRun: true });
}

function listAddresses(settings: Settings): string[] {
  return settings.role === 'agent'
    ? [settings.address, settings.endpointAddress]
    : [settings.address];
}

function listDuplicates(
  all: readonly NamedSettings[],
  field: string,
  listValues: (settings: Settings) => string[],
): string[] {
  const owners = new Map<string, string>();
  return all.flatMap(({ source, settings }) =>
    listValues(settings).flatMap((value) => {
      const owner = owners.get(value);
      owners.set(value, owner ?? source);
      return owner
        ? [`${source}: ${field}: got "${value}", allowed: one that ${owner} does not use`]
        : [];
    }),
  );
}

function listGroupDifferences(all: readonly NamedSettings[]): string[] {
  const readGroup = ({ settings }: NamedSettings) =>
    JSON.stringify(settings.role === 'control' ? settings.group : settings.control);
  const [first] = all;
  if (!first) return [];
  return all
    .filter((named) => readGroup(named) !== readGroup(first))
    .map((named) => {
      const field = named.settings.role === 'control' ? 'group' : 'control';
      return `${named.source}: ${field}: got ${readGroup(named)}, allowed: the control nodes of ${first.source}`;
    });
}
