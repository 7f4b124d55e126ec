import type { Clock, Hash } from '@vanillarelay/core';
import { computeCanaryShare } from './compute-canary-share.js';
import { createVersionCounts } from './create-version-counts.js';
import type { ExposureQuota } from './exposure-quota.js';
import { judgeRollout } from './judge-rollout.js';
import { mergeVersionReports } from './merge-version-reports.js';
import type { Rollout } from './rollout.js';
import type { RolloutBounds } from './rollout-bounds.js';
import type { RolloutCounts } from './rollout-counts.js';
import type { RolloutVerdict } from './rollout-verdict.js';
import type { RouteCounts } from './route-counts.js';
import type { VersionUse } from './version-use.js';

interface ProgressOptions {
  clock: Pick<Clock, 'monotonic'>;
  hash: Hash;
  bounds: RolloutBounds;
  rollout: Rollout;
  ageMs: number;
  quota: ExposureQuota;
  listNewEndpoints: () => RolloutCounts['endpoints'];
  notifyStep: (step: { phase: Phase; share: number; ageMs: number }) => void;
  notifyVerdict: (verdict: RolloutVerdict) => void;
}

type Phase = 'canary' | 'growth' | 'last' | 'stopped';

interface SideAnswer {
  route: string;
  newEndpoint?: Parameters<ReturnType<typeof createVersionCounts>['record']>[0]['newEndpoint'];
  isBad: boolean;
}

const hashRange = 2 ** 32;
/** Part of the duration that the recent window covers, and its limits. */
const windowPart = 1 / 6;
const minWindowMs = 1_000;
const maxWindowMs = 10_000;
/** Shortest last phase, and the longest as a part of the duration. */
const minLastMs = 500;
const maxLastPart = 0.25;
/** Time before the deadline at which the end is proposed, which has to reach a majority by then. */
const endLeadMs = 300;
const maxEndLeadPart = 0.1;
/** Share above which old answers have no higher weight; few of them come then. */
const maxMatchedShare = 0.5;
/** Part of the plan from which the phase is called growth. */
const growthFrom = 0.6;

/** Creates one router's progress of a roll-out: what it may send, what it counted, and its verdict. */
export function createRolloutProgress(options: ProgressOptions) {
  const { clock, hash, bounds, rollout, quota } = options;
  const { durationMs, startIndex } = rollout;
  const planMs = durationMs - Math.min(endLeadMs, durationMs * maxEndLeadPart);
  const windowMs = Math.min(maxWindowMs, Math.max(minWindowMs, durationMs * windowPart));
  const counts = createVersionCounts(clock, windowMs);
  const knownAt = clock.monotonic();
  let orderedAt = knownAt - options.ageMs;
  let remote: Record<string, RouteCounts> = {};
  let verdict: RolloutVerdict = { good: 0, bad: 0, oldShare: 0, evidence: 0 };
  let isBad = false;
  let lastPhaseAt: number | undefined;
  let answersPerMs = 0;
  let phase: Phase | undefined;

  const readAgeMs = (): number => clock.monotonic() - orderedAt;

  const readCanaryShare = (): number =>
    computeCanaryShare({ ...bounds, planMs, ageMs: readAgeMs(), requestsPerMs: answersPerMs });

  /** Starts or ends the last phase, for which the evidence has to be complete. */
  const updateLastPhase = (): void => {
    if (isBad || verdict.outcome !== 'completed') {
      lastPhaseAt = undefined;
      return;
    }
    const leftMs = planMs - readAgeMs();
    const quotaMs = quota.computeLastMs(clock.monotonic() - knownAt, Math.max(0, leftMs));
    const lastMs = Math.min(durationMs * maxLastPart, Math.max(minLastMs, quotaMs));
    if (leftMs <= lastMs) lastPhaseAt ??= clock.monotonic();
  };

  const readShare = (): number => {
    if (isBad) return 0;
    return lastPhaseAt === undefined ? readCanaryShare() : 1;
  };

  const updatePhase = (): void => {
    const canary = readAgeMs() < planMs * growthFrom ? 'canary' : 'growth';
    const open = lastPhaseAt === undefined ? canary : 'last';
    const next = isBad ? 'stopped' : open;
    if (next === phase) return;
    phase = next;
    options.notifyStep({ phase: next, share: readShare(), ageMs: Math.round(readAgeMs()) });
  };

  const judge = (): void => {
    const local = counts.read(remote);
    const { all = {} } = mergeVersionReports([{ all: local }, { all: remote }]);
    const answers = Object.values(all).reduce(
      (sum, { old, new: fresh }) => sum + old[0] + old[1] + fresh[0] + fresh[1],
      0,
    );
    answersPerMs = answers / Math.max(1, readAgeMs());
    const endpoints = options.listNewEndpoints();
    const next = judgeRollout({ routes: all, endpoints }, readAgeMs(), durationMs);
    const isChanged = next.outcome !== undefined && next.outcome !== verdict.outcome;
    if (!isBad) verdict = next;
    if (isChanged && !isBad) options.notifyVerdict(next);
    // A version that was found bad stays so: no more answers come that could clear it.
    isBad ||= next.outcome === 'rolledBack';
    updateLastPhase();
    updatePhase();
  };

  return {
    rollout,
    recordRequest: quota.recordRequest,
    recordSend: quota.recordSend,
    /** How a request with this key may use the new version. */
    findUse: (key: string): VersionUse => {
      if (isBad) return 'excluded';
      const draw = hash(`rollout ${startIndex} ${key}`) / hashRange;
      return draw < readShare() && quota.hasRoom() ? 'preferred' : 'lastResort';
    },
    recordAnswer: (answer: SideAnswer): void => {
      const share = Math.min(maxMatchedShare, readCanaryShare());
      counts.record({ ...answer, weight: share / (1 - share) });
      if (answer.isBad && answer.newEndpoint !== undefined && !isBad) judge();
    },
    /** Takes the age that the hub states; the age known here never decreases. */
    updateAge: (ageMs: number): void => {
      orderedAt = Math.min(orderedAt, clock.monotonic() - ageMs);
      judge();
    },
    readCounts: () => counts.read(remote),
    updateRemote: (routes: Record<string, RouteCounts>): void => {
      remote = routes;
      judge();
    },
    /** The end that a hub should propose now, given whether old endpoints run requests. */
    findOutcome: (isOldEmpty: () => boolean): 'completed' | 'rolledBack' | undefined => {
      if (isBad) return 'rolledBack';
      if (lastPhaseAt === undefined || clock.monotonic() - lastPhaseAt < minLastMs)
        return undefined;
      return readAgeMs() >= planMs || isOldEmpty() ? 'completed' : undefined;
    },
    readVerdict: () => verdict,
    read: () => ({ ...quota.read(), share: readShare(), ageMs: readAgeMs(), isBad }),
  };
}
