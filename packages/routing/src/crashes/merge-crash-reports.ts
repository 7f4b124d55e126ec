import type { CrashId, SuspectId } from '@vanillarelay/core';
import type { CrashReports } from './crash-reports.js';

/** Merges the crash reports of several processes; what one of them has cleared counts as cleared. */
export function mergeCrashReports(parts: readonly CrashReports[]): CrashReports {
  const merged: CrashReports = {};
  parts.forEach((reports) => {
    Object.entries(reports).forEach(([suspectKey, crashes]) => {
      const suspect = suspectKey as SuspectId;
      const known = merged[suspect] ?? {};
      merged[suspect] = known;
      Object.entries(crashes).forEach(([crashKey, report]) => {
        const crash = crashKey as CrashId;
        const { ageMs = 0, events = 0, clearedAgeMs } = known[crash] ?? {};
        const mostEvents = Math.max(events, report.events ?? 0);
        const cleared = clearedAgeMs ?? report.clearedAgeMs;
        known[crash] = {
          ageMs: Math.max(ageMs, report.ageMs),
          ...(mostEvents > 0 ? { events: mostEvents } : {}),
          ...(cleared === undefined ? {} : { clearedAgeMs: cleared }),
        };
      });
    });
  });
  return merged;
}
