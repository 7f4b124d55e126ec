import type { Clock, CrashMark, DaemonState, Fingerprint } from '@vanillarelay/core';

interface MarksOptions {
  clock: Clock;
  readState: () => DaemonState | undefined;
}

type MarkStatus = CrashMark['status'];

const localMarkMs = 600_000;

/** Makes the view of crash marks: those of the replicated state and those not yet in it. */
export function createMarks({ clock, readState }: MarksOptions) {
  const local = new Map<Fingerprint, { status: MarkStatus; expiresAt: number }>();

  const findLocal = (fingerprint: Fingerprint): MarkStatus | undefined => {
    const mark = local.get(fingerprint);
    if (!mark) return undefined;
    if (mark.expiresAt > clock.now()) return mark.status;
    local.delete(fingerprint);
    return undefined;
  };

  const find = (fingerprint: Fingerprint): MarkStatus | undefined => {
    const mark = readState()?.marks.find(
      (candidate) => candidate.fingerprint === fingerprint && candidate.expiresAt > clock.now(),
    );
    // Control knows the mark now, and with it whether an operator lifts it.
    if (mark) local.delete(fingerprint);
    return mark?.status ?? findLocal(fingerprint);
  };

  const recordCrash = (fingerprints: Fingerprint[]): void =>
    fingerprints.forEach((fingerprint) => {
      const status = find(fingerprint) && fingerprints.length === 1 ? 'convicted' : 'suspect';
      local.set(fingerprint, { status, expiresAt: clock.now() + localMarkMs });
    });

  return { find, recordCrash, clear: (fingerprint: Fingerprint) => local.delete(fingerprint) };
}
