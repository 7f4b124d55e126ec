import type { Clock, EndpointId, Hash } from '@vanillarelay/core';
import { computeCanaryShare } from './compute-canary-share.js';
import { computeLastMs } from './compute-last-ms.js';
import { createVersionCounts } from './create-version-counts.js';
import type { ExposureQuota } from './exposure-quota.js';
import { judgeRollout } from './judge-rollout.js';
import { mergeRouteCounts } from './merge-route-counts.js';
import { mergeVersionReports } from './merge-version-reports.js';
import type { Rollout } from './rollout.js';
import type { RolloutBounds } from './rollout-bounds.js';
import type { RolloutCounts } from './rollout-counts.js';
import type { RolloutVerdict } from './rollout-verdict.js';
import type { RouteCounts } from './route-counts.js';
import type { TrafficFigures } from './traffic-figures.js';
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

interface Answer {
  route: string;
  /** The endpoint, if it is of the new version. */
  newEndpoint?: EndpointId;
  isBad: boolean;
}

const hashRange = 2 ** 32;
/** Prompts of the new version that are remembered, which bounds the memory. */
const maxAnsweredPrompts = 1_000;
/** Part of the duration that the recent window covers, and its limits. */
const windowPart = 1 / 6;
const minWindowMs = 1_000;
const maxWindowMs = 10_000;
/** Time that old endpoints have to become empty, at least. */
const minLastMs = 500;
/**
 * Evidence for good that the recent answers have to give at the end; nearly all of them are of the
 * last phase then, in which the new version has its full load.
 */
const lastEvidence = Math.log(20);
/**
 * Time before the deadline at which the plan ends. The last answers have to come and be reported, and
 * the end has to reach a majority, by the deadline.
 */
const endLeadMs = 800;
const maxEndLeadPart = 0.1;
/** Share above which old answers have no higher weight; few of them come then. */
const maxMatchedShare = 0.5;

/** Creates one router's progress of a roll-out: what it may send, what it counted, and its verdict. */
export function createRolloutProgress(options: ProgressOptions) {
  const { clock, hash, bounds, rollout, quota } = options;
  const { durationMs, startIndex } = rollout;
  const planMs = durationMs - Math.min(endLeadMs, durationMs * maxEndLeadPart);
  const windowMs = Math.min(maxWindowMs, Math.max(minWindowMs, durationMs * windowPart));
  const counts = createVersionCounts(clock, windowMs);
  let orderedAt = clock.monotonic() - options.ageMs;
  let remote: Record<string, RouteCounts> = {};
  let verdict: RolloutVerdict = noVerdict;
  let isBad = false;
  let requestsPerMs = 0;
  /** Answers of the new version so far, at all routers. */
  let newAnswers = 0;
  let lastPhaseAt: number | undefined;
  let lastMs = 0;
  let hasLoadEvidence = false;
  let phase: Phase | undefined;
  const answeredPrompts = new Set<string>();

  const readAgeMs = (): number => clock.monotonic() - orderedAt;
  const isEvident = (): boolean => verdict.isSound;

  const readFigures = (): TrafficFigures => ({
    ...bounds,
    ...{ durationMs, planMs, requestsPerMs, newAnswers },
    ageMs: readAgeMs(),
  });

  const readCanaryShare = (): number => computeCanaryShare(readFigures(), isEvident());

  /** Whether all requests go to the new version, for which the evidence has to be complete. */
  const isLastPhase = (): boolean => {
    if (!isEvident()) lastPhaseAt = undefined;
    else if (planMs - readAgeMs() <= lastMs) lastPhaseAt ??= clock.monotonic();
    return lastPhaseAt !== undefined;
  };

  const readShare = (): number => {
    if (isBad) return 0;
    return isLastPhase() ? 1 : readCanaryShare();
  };

  const updatePhase = (): void => {
    const canary = isEvident() ? 'growth' : 'canary';
    const open = isLastPhase() ? 'last' : canary;
    const next = isBad ? 'stopped' : open;
    if (next === phase) return;
    phase = next;
    options.notifyStep({ phase: next, share: readShare(), ageMs: Math.round(readAgeMs()) });
  };

  const mergeCounts = (): Record<string, RouteCounts> => {
    const { all: routes = {} } = mergeVersionReports([
      { all: counts.read(remote) },
      { all: remote },
    ]);
    const sum = mergeRouteCounts(Object.values(routes));
    newAnswers = sum.new[0] + sum.new[1];
    requestsPerMs = (sum.old[0] + sum.old[1] + newAnswers) / Math.max(1, readAgeMs());
    return routes;
  };

  /** A version that was found bad stays so: no more answers come that could clear it. */
  const judge = (): void => {
    if (isBad) return;
    const known = { routes: mergeCounts(), endpoints: options.listNewEndpoints() };
    const next = judgeRollout(known, readAgeMs(), durationMs);
    const isChanged = next.outcome !== undefined && next.outcome !== verdict.outcome;
    verdict = next;
    isBad = next.outcome === 'rolledBack';
    if (isChanged) options.notifyVerdict(next);
    lastMs = computeLastMs(readFigures());
    hasLoadEvidence = isLastPhase() && (hasLoadEvidence || verdict.recentEvidence <= -lastEvidence);
    updatePhase();
  };

  /**
   * Whether the version has been seen with its full load. Beyond the deadline the quota may be spent,
   * so that no full load is possible; then it only must raise no doubt.
   */
  const hasLastEvidence = (): boolean => {
    if (!isLastPhase() || verdict.outcome !== 'completed') return false;
    if (clock.monotonic() - (lastPhaseAt ?? Infinity) < minLastMs) return false;
    return hasLoadEvidence || (readAgeMs() > durationMs && verdict.recentEvidence <= 0);
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
    recordAnswer: (answer: Answer): void => {
      const share = Math.min(maxMatchedShare, readCanaryShare());
      counts.record({ ...answer, weight: share / (1 - share) });
      if (answer.isBad && answer.newEndpoint !== undefined) judge();
    },
    /** Whether no prompt with this key was answered by the new version before, as known here. */
    takeFirst: (promptKey: string): boolean => {
      const isFirst = !answeredPrompts.has(promptKey);
      if (isFirst && answeredPrompts.size < maxAnsweredPrompts) answeredPrompts.add(promptKey);
      return isFirst;
    },
    /** Takes the age that the hub states; the age known here never decreases. */
    updateAge: (ageMs: number): void => {
      orderedAt = Math.min(orderedAt, clock.monotonic() - ageMs);
    },
    readCounts: () => counts.read(remote),
    /** Takes the counts of the other routers, and judges by the sum. */
    updateRemote: (routes: Record<string, RouteCounts>): void => {
      remote = routes;
      judge();
    },
    /** The end that a hub should propose now, given whether old endpoints are idle. */
    findOutcome: (isOldEmpty: () => boolean): 'completed' | 'rolledBack' | undefined => {
      if (isBad) return 'rolledBack';
      if (!hasLastEvidence()) return undefined;
      return readAgeMs() >= planMs || isOldEmpty() ? 'completed' : undefined;
    },
    readVerdict: () => verdict,
    read: () => ({ ...quota.read(), share: readShare(), ageMs: readAgeMs(), isBad }),
  };
}

const noVerdict: RolloutVerdict = {
  isSound: false,
  good: 0,
  bad: 0,
  oldShare: 0,
  evidence: 0,
  recentEvidence: 0,
};
