import type { Clock, CrashMark, DaemonState, Fingerprint } from '@vanillarelay/core';

interface CrashMarksOptions {
  clock: Clock;
  readState: () => DaemonState | undefined;
}

type MarkStatus = CrashMark['status'];

/** How long a mark of this agent is kept while the replicated state does not contain it. */
const localMarkLifetimeMs = 600_000;

/**
 * Creates the lookup of crash marks by fingerprint, in the replicated state and among those that
 * this agent recorded and that are not replicated yet.
 */
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
    // The replicated mark replaces the local one: an operator can only remove the replicated one, and
    // a local copy would outlive it.
    if (mark) localMarks.delete(fingerprint);
    return mark?.status ?? findLocal(fingerprint);
  };

  const recordCrash = (fingerprints: Fingerprint[]): void =>
    fingerprints.forEach((fingerprint) => {
      // A suspect runs alone, so a second crash with it as the only request convicts it; if others
      // ran too, it stays a suspect.
      const status = find(fingerprint) && fingerprints.length === 1 ? 'convicted' : 'suspect';
      localMarks.set(fingerprint, { status, expiresAt: clock.now() + localMarkLifetimeMs });
    });

  return { find, recordCrash, clear: (fingerprint: Fingerprint) => localMarks.delete(fingerprint) };
}
