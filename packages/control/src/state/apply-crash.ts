import type { CommandResult, CrashMark, Fingerprint } from '@vanillarelay/core';
import type { CommandOf } from './command-of.js';
import type { FleetState } from './fleet-state.js';
import type { Stamp } from './stamp.js';
import { updateIncarnation } from './update-incarnation.js';

/** A mark expires this long after its last crash. */
const markLifetimeMs = 10 * 60 * 1000;

/**
 * Adds a crash mark to each request that ran when an endpoint crashed. A suspect runs alone, so a
 * second crash with it as the only request convicts it; if others ran too, it stays a suspect.
 */
export function applyCrash(
  state: FleetState,
  { endpoint, incarnation, fingerprints, crashId }: CommandOf<'reportCrash'>,
  { index, at }: Stamp,
): CommandResult {
  updateIncarnation(state, endpoint, incarnation);
  const unreported = [...new Set(fingerprints)].filter(
    (fingerprint) => !crashId || !state.crashReports.get(fingerprint)?.includes(crashId),
  );
  if (unreported.length === 0) return { ok: true, index };
  const isAlone = new Set(fingerprints).size === 1;
  const next = unreported.map((fingerprint): CrashMark => {
    const earlier = state.daemon.marks.find((mark) => mark.fingerprint === fingerprint);
    if (crashId) recordReport(state, fingerprint, crashId);
    const isConvicted = earlier?.status === 'convicted' || (earlier !== undefined && isAlone);
    return {
      fingerprint,
      status: isConvicted ? 'convicted' : 'suspect',
      crashes: (earlier?.crashes ?? 0) + 1,
      expiresAt: at + markLifetimeMs,
    };
  });
  const others = state.daemon.marks.filter(({ fingerprint }) => !unreported.includes(fingerprint));
  state.daemon = { ...state.daemon, marks: [...others, ...next], version: index };
  return { ok: true, index };
}

function recordReport({ crashReports }: FleetState, fingerprint: Fingerprint, crashId: string) {
  crashReports.set(fingerprint, [...(crashReports.get(fingerprint) ?? []), crashId]);
}
