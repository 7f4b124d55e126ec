import type { CrashId, SuspectId } from '@vanillarelay/core';

/** How long ago a crash was noticed, and how long ago its suspect proved harmless. */
interface CrashReport {
  ageMs: number;
  /** Events that the lost run had sent; absent when there were none. */
  events?: number;
  /** Absent while the suspect may have caused the crash. */
  clearedAgeMs?: number;
}

/** The crashes that each suspect may have caused. */
export type CrashReports = Record<SuspectId, Record<CrashId, CrashReport>>;
