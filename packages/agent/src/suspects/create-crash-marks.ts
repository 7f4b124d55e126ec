import type { Clock, CrashMark, DaemonState, Fingerprint } from '@vanillarelay/core';

interface CrashMarksOptions {
  clock: Clock;
  readState: () => DaemonState | undefined;
}

type MarkStatus = CrashMark['status'];

/** How long this agent keeps a mark that the replicated state does not contain yet. */
const localMarkLifetimeMs = 600_000;

/** Creates the view of crash marks: those of the replicated state and recent ones of this agent. */
export function createCrashMarks({ clock, readState }: CrashMarksOptions) {
  const localMarks = new Map<Fingerprint, { status: MarkStatus; expiresAt: number }>();

  const findLocal = (fingerprint: Fingerprint): MarkStatus | undefined => {
    const mark = localMarks.get(fingerprint);
    if (!mark) return undefined;
    if (mark.expiresAt > clock.now()) return mark.status;
    localMarks.delete(fingerprint);
    return undefined;
  };

  const find = (fingerprint: Fingerprint): MarkStatus | undefined => {
    const mark = readState()?.marks.find(
      (candidate) => candidate.fingerprint === fingerprint && candidate.expiresAt > clock.now(),
    );
    // The replicated mark replaces the local one, which no operator could lift.
    if (mark) localMarks.delete(fingerprint);
    return mark?.status ?? findLocal(fingerprint);
  };

  const recordCrash = (fingerprints: Fingerprint[]): void =>
    fingerprints.forEach((fingerprint) => {
      // A suspect runs alone, so a second crash proves that it is the cause.
      const status = find(fingerprint) && fingerprints.length === 1 ? 'convicted' : 'suspect';
      localMarks.set(fingerprint, { status, expiresAt: clock.now() + localMarkLifetimeMs });
    });

  return { find, recordCrash, clear: (fingerprint: Fingerprint) => localMarks.delete(fingerprint) };
}
