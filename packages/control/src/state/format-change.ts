import type { Command, FleetConfig } from '@vanillarelay/core';

type Change = Extract<Command, { changeId: unknown }>;

/** Describes a change in one line for the history. */
export function formatChange(before: FleetConfig, change: Change): string {
  switch (change.type) {
    case 'applyConfig':
      return formatConfigChange(before, change.config);
    case 'takeOutDataCentre':
      return `data centre ${change.dataCentre} out`;
    case 'bringBackDataCentre':
      return `data centre ${change.dataCentre} back`;
    case 'drainEndpoint':
      return `endpoint ${change.endpoint} ${change.draining ? 'draining' : 'no longer draining'}`;
    case 'liftMark':
      return `mark ${change.fingerprint} lifted`;
    default:
      return `endpoint ${change.endpoint}: ${change.action} ${change.target}`;
  }
}

function formatConfigChange(before: FleetConfig, after: FleetConfig): string {
  const parts = (['dataCentres', 'services', 'accounts'] as const).flatMap((section) =>
    formatSection(section, before[section], after[section]),
  );
  if (before.concurrentLoads !== after.concurrentLoads) {
    parts.push(`concurrentLoads ${before.concurrentLoads} -> ${after.concurrentLoads}`);
  }
  return parts.join('; ') || 'no difference';
}

/** Names that were added (+), removed (-) and changed (~) in one section. */
function formatSection(
  section: string,
  before: Record<string, unknown>,
  after: Record<string, unknown>,
): string[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  const differences = names.flatMap((name) => {
    if (!(name in before)) return `+${name}`;
    if (!(name in after)) return `-${name}`;
    return JSON.stringify(before[name]) === JSON.stringify(after[name]) ? [] : `~${name}`;
  });
  return differences.length > 0 ? [`${section} ${differences.join(' ')}`] : [];
}
