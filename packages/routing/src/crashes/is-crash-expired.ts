import type { Suspect } from './suspect.js';

/** How long a single crash is kept; endpoints also crash for other reasons. */
const singleRetentionMs = 60_000;
/** How long repeated crashes are kept; callers may keep sending what crashes endpoints. */
const repeatedRetentionMs = 600_000;
/** How long crashes are kept beyond those that block a suspect, as after a failed probe. */
const convictedRetentionMs = 24 * 3_600_000;
const convictedCount = 4;
/** How long a crash is kept after its suspect was cleared, until all routers know that. */
const clearedRetentionMs = 30_000;

/** Whether a crash of a suspect with the given number of uncleared crashes is forgotten. */
export function isCrashExpired(
  { at, clearedAt }: NonNullable<ReturnType<Suspect['crashes']['get']>>,
  crashCount: number,
  now: number,
): boolean {
  if (clearedAt !== undefined) return now - clearedAt > clearedRetentionMs;
  if (crashCount >= convictedCount) return now - at > convictedRetentionMs;
  return now - at > (crashCount > 1 ? repeatedRetentionMs : singleRetentionMs);
}
