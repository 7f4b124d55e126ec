import {
  sortByRendezvous,
  toId,
  type Clock,
  type CrashId,
  type DaemonId,
  type Hash,
  type SuspectId,
} from '@vanillarelay/core';
import type { CrashReports } from './crash-reports.js';
import { createStartMemory } from './create-start-memory.js';
import { hasRunPast } from './has-run-past.js';
import { isContentProbeDue } from './is-content-probe-due.js';
import { isCrashExpired } from './is-crash-expired.js';
import { isProbeDue } from './is-probe-due.js';
import type { Suspect } from './suspect.js';

/** One run of a content that was lost together with its endpoint. */
interface LostRun {
  /** The process of the endpoint. */
  endpointProcess: string;
  /** Monotonic time at which the run was sent. */
  sentAt: number;
  /** Events that the run had sent. */
  events: number;
}

interface CrashRecordOptions {
  clock: Pick<Clock, 'monotonic'>;
  hash: Hash;
  self: DaemonId;
  /** Routers that may send requests, including this one. */
  listRouters: () => readonly DaemonId[];
  /** Called when a suspect is blocked, tested by a request, or no longer blocked. */
  notify: (change: 'blocked' | 'probed' | 'cleared', id: SuspectId, crashCount: number) => void;
}

/** Number of crashes, over all routers, after which a suspect is blocked. */
const blockThreshold = 3;
/** Begins the id of a probe of a content, which counts as a crash until its answer is complete. */
const probePrefix = 'probe.';
/** Maximum number of suspects that are sent to the other routers with each message. */
const maxReportedSuspects = 32;
/** Maximum number of suspects that are kept; the oldest are removed first. */
const maxSuspects = 1_000;

/**
 * Creates the record of what may crash endpoints: the contents of requests, and the parts of
 * prompts. A part is suspected of a crash if the answer had not begun, until an answer to a request
 * with it begins at any endpoint. A content is suspected at any point of its run, until one run of it
 * is complete or goes well past that point. What is suspected of several crashes is blocked at every
 * router. Probes show whether a verdict is wrong: of a part again and again, of a content a limited
 * number over all routers. Each router keeps and passes on what it has learned, so that the record outlives the router
 * that noticed a crash.
 */
export function createCrashRecord(options: CrashRecordOptions) {
  const { clock, hash, self, listRouters, notify } = options;
  const suspects = new Map<SuspectId, Suspect>();
  const starts = createStartMemory(clock);

  const countCrashes = ({ crashes }: Suspect): number => {
    const furthest = Math.max(0, ...[...crashes.values()].map(({ events }) => events));
    return [...crashes.values()].filter(
      ({ clearedAt, events }) => clearedAt === undefined && !hasRunPast(furthest, events),
    ).length;
  };

  const updateIsBlocked = (id: SuspectId, suspect: Suspect): void => {
    const count = countCrashes(suspect);
    const isBlocked = count >= blockThreshold;
    if (isBlocked === suspect.isBlocked) return;
    suspect.isBlocked = isBlocked;
    notify(isBlocked ? 'blocked' : 'cleared', id, count);
  };

  const findOrAdd = (id: SuspectId): Suspect => {
    const known = suspects.get(id) ?? { crashes: new Map(), delayedFrom: 0, isBlocked: false };
    suspects.set(id, known);
    return known;
  };

  const removeExpired = (): void => {
    const now = clock.monotonic();
    suspects.forEach((suspect, id) => {
      const count = countCrashes(suspect);
      suspect.crashes.forEach((crash, crashId) => {
        if (isCrashExpired(crash, count, now)) suspect.crashes.delete(crashId);
      });
      updateIsBlocked(id, suspect);
      if (suspect.crashes.size === 0) suspects.delete(id);
    });
    for (const [id, { isBlocked }] of suspects) {
      if (suspects.size <= maxSuspects) return;
      if (!isBlocked) suspects.delete(id);
    }
  };

  const clear = (id: SuspectId): void => {
    const suspect = suspects.get(id);
    if (!suspect) return;
    suspect.crashes.forEach((crash) => {
      crash.clearedAt ??= clock.monotonic();
    });
    updateIsBlocked(id, suspect);
  };

  const mergeCrash = (
    id: SuspectId,
    crashId: CrashId,
    { ageMs, events = 0, clearedAgeMs }: CrashReports[SuspectId][CrashId],
  ): void => {
    const now = clock.monotonic();
    const suspect = findOrAdd(id);
    const known = suspect.crashes.get(crashId);
    const crash = known ?? { at: now - ageMs, events };
    crash.at = Math.min(crash.at, now - ageMs);
    crash.events = Math.max(crash.events, events);
    const hasStartedSince = starts.hasSince(id, crash.at);
    if (clearedAgeMs !== undefined) crash.clearedAt ??= now - clearedAgeMs;
    else if (hasStartedSince) crash.clearedAt ??= now;
    suspect.crashes.set(crashId, crash);
    if (!known && crash.clearedAt === undefined) suspect.delayedFrom = now;
    updateIsBlocked(id, suspect);
  };

  const readTurn = (key: string): { rank: number; routerCount: number } => {
    const routers = sortByRendezvous(hash, key, listRouters());
    const rank = routers.includes(self) ? routers.indexOf(self) : routers.length;
    return { rank, routerCount: Math.max(1, routers.length) };
  };

  const listUncleared = ({ crashes }: Suspect) =>
    [...crashes].filter(([, { clearedAt }]) => clearedAt === undefined);

  /** Whether it is this router's turn to test a content. */
  const hasContentTurn = (id: SuspectId): boolean => {
    const crashes = listUncleared(findOrAdd(id));
    const lastAt = Math.max(...crashes.map(([, { at }]) => at));
    return isContentProbeDue({
      elapsedMs: clock.monotonic() - lastAt,
      probeCount: crashes.filter(([crashId]) => crashId.startsWith(probePrefix)).length,
      ...readTurn(id),
    });
  };

  /** Whether it is this router's turn to test these suspects, all in one request. */
  const hasProbeTurn = (ids: readonly SuspectId[], content?: SuspectId): boolean => {
    if (content !== undefined && ids.includes(content)) return hasContentTurn(content);
    const known = ids.map(findOrAdd);
    const key = [...ids].sort()[0] ?? '';
    return isProbeDue({
      elapsedMs: clock.monotonic() - Math.max(...known.map(({ delayedFrom }) => delayedFrom)),
      furtherCrashes: Math.max(...known.map(countCrashes)) - blockThreshold,
      ...readTurn(key),
    });
  };

  const startProbe = (id: SuspectId): void => {
    const suspect = findOrAdd(id);
    suspect.delayedFrom = clock.monotonic();
    notify('probed', id, countCrashes(suspect));
  };

  /** Counts a probe of a content as a crash at once, which the other routers learn of. */
  const recordProbe = (id: SuspectId): void => {
    const { crashes } = findOrAdd(id);
    const events = Math.max(...[...crashes.values()].map((crash) => crash.events));
    const crashId = toId<CrashId>(`${probePrefix}${self}.${crashes.size}`);
    mergeCrash(id, crashId, { ageMs: 0, events });
  };

  return {
    /** Whether nothing is suspected; then requests need not be checked. */
    isEmpty: (): boolean => suspects.size === 0,
    /** Whether an answer to a prompt with each of these parts has begun at this router. */
    haveStarted: (ids: readonly SuspectId[]): boolean => ids.every(starts.has),
    listBlocked: (ids: readonly SuspectId[]): SuspectId[] =>
      ids.filter((id) => suspects.get(id)?.isBlocked),
    /**
     * Whether this router may send one request with these blocked suspects now, to find out whether
     * they are harmless; `content` is the request's content, which may be one of them.
     */
    hasProbeTurn,
    /** The same, and records that the request is sent. */
    takeProbe: (ids: readonly SuspectId[], content?: SuspectId): boolean => {
      if (!hasProbeTurn(ids, content)) return false;
      ids.forEach(startProbe);
      if (content !== undefined && ids.includes(content)) recordProbe(content);
      return true;
    },
    /** Records that an endpoint crashed before an answer with these parts had begun. */
    recordCrash: (ids: readonly SuspectId[], crash: CrashId): void =>
      ids.forEach((id) => mergeCrash(id, crash, { ageMs: 0 })),
    /**
     * Records that an endpoint crashed while it ran a request with this content. Runs that it had at
     * the same time, at any router, count as one crash. A later run at a process that seems to be the
     * same counts again: an endpoint may have restarted before its announcement says so.
     */
    recordLostRun: (id: SuspectId, { endpointProcess, sentAt, events }: LostRun): void => {
      const crashes = suspects.get(id)?.crashes;
      const buildId = (ordinal: number) => toId<CrashId>(`${endpointProcess}.${ordinal}`);
      let ordinal = 1;
      while ((crashes?.get(buildId(ordinal))?.at ?? Infinity) < sentAt) ordinal += 1;
      mergeCrash(id, buildId(ordinal), { ageMs: 0, events });
    },
    /** Records that the answer to a prompt with these parts has begun, which clears them. */
    recordStart: (ids: readonly SuspectId[]): void => {
      starts.record(ids);
      if (suspects.size > 0) ids.forEach(clear);
    },
    /** Clears the content of a request that was answered completely. */
    clear,
    countBlocked: (): number => [...suspects.values()].filter(({ isBlocked }) => isBlocked).length,
    /** What this router knows, for the others; only the suspects with the most crashes. */
    readLocal: (): CrashReports => {
      removeExpired();
      const now = clock.monotonic();
      const reported = [...suspects]
        .sort(([, a], [, b]) => b.crashes.size - a.crashes.size || b.delayedFrom - a.delayedFrom)
        .slice(0, maxReportedSuspects);
      const reports: CrashReports = {};
      reported.forEach(([id, { crashes }]) => {
        reports[id] = buildReport(crashes, now);
      });
      return reports;
    },
    /** Merges what the other routers know. */
    updateRemote: (reports: CrashReports): void => {
      Object.entries(reports).forEach(([id, crashes]) => {
        Object.entries(crashes).forEach(([crash, report]) => {
          mergeCrash(id as SuspectId, crash as CrashId, report);
        });
      });
    },
  };
}

function buildReport(crashes: Suspect['crashes'], now: number): CrashReports[SuspectId] {
  const report: CrashReports[SuspectId] = {};
  crashes.forEach(({ at, events, clearedAt }, id) => {
    report[id] = {
      ageMs: Math.round(now - at),
      ...(events > 0 ? { events } : {}),
      ...(clearedAt === undefined ? {} : { clearedAgeMs: Math.round(now - clearedAt) }),
    };
  });
  return report;
}
