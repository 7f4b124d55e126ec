import type { DataCentreId, EndpointId } from '@vanillarelay/core';
import { computeBadShare } from './compute-bad-share.js';
import { computeEvidence } from './compute-evidence.js';
import { mergeRouteCounts } from './merge-route-counts.js';
import type { RolloutCounts } from './rollout-counts.js';
import type { RolloutVerdict } from './rollout-verdict.js';
import type { RouteCounts } from './route-counts.js';
import type { SideCounts } from './side-counts.js';

interface Test extends Omit<RolloutVerdict, 'isSound' | 'recentEvidence'> {
  oldAnswers: number;
  /** Answers of new endpoints within the test. */
  endpoints: Record<EndpointId, { good: number; bad: number }>;
}

/** Error rate of each of the two verdicts. */
const errorRate = 0.01;
/** Evidence at which Wald's test decides, with equal error rates. */
const waldEvidence = Math.log((1 - errorRate) / errorRate);
/** Most evidence for good that a route needs of its own. */
const maxRouteEvidence = Math.log(10);
/** Evidence that a route needs in relation to its share of the old answers. */
const routeFactor = 1.5 * waldEvidence;
/** Evidence against a part of the answers that delays the verdict for good; more than one bad answer. */
const doubtEvidence = 2;
/** Bad answers below which nothing is decided against a version. */
const minBad = 4;
/** Recent windows within a roll-out, each of which is a chance for a false verdict. */
const windowCount = 6;
/** Share of the duration before which no version is judged good. */
const minAgeShare = 0.5;

/**
 * Judges a version by Wald's sequential probability ratio test (1945), for the service and for each
 * route, over all answers and over the recent ones. The bound against the version is raised by the
 * number of these tests, so that the chance of a false verdict is that of a single one.
 */
export function judgeRollout(
  { routes, endpoints }: RolloutCounts,
  ageMs: number,
  durationMs: number,
): RolloutVerdict {
  const all = mergeRouteCounts(Object.values(routes));
  const scopes: [string | undefined, RouteCounts][] = [[undefined, all], ...Object.entries(routes)];
  const totals = scopes.map(([route, counts]) => buildTotalTest(route, counts));
  const recents = scopes.map(([route, counts]) => buildRecentTest(route, counts));
  const tests = [...totals, ...recents];
  const bound = waldEvidence + Math.log(tests.length);
  const against = tests.find((test) => {
    const limit = bound + (test.isRecent ? Math.log(windowCount) : 0);
    return test.bad >= minBad && test.evidence >= limit && isOfVersion(test, endpoints);
  });
  const recentEvidences = recents.map((test) => computeSoundEvidence(test, endpoints));
  const [recentEvidence = 0] = recentEvidences;
  const [total = buildTotalTest(undefined, all), ...byRoute] = totals;
  const basis = { recentEvidence, isSound: false };
  if (against) return { ...buildVerdict(against), ...basis, outcome: 'rolledBack' };
  const isSound =
    ageMs >= durationMs * minAgeShare &&
    computeSoundEvidence(total, endpoints) <= -waldEvidence &&
    byRoute.every((test) => computeSoundEvidence(test, endpoints) < doubtEvidence) &&
    recentEvidences.every((evidence) => evidence < doubtEvidence);
  const isProven =
    isSound && byRoute.every((test) => isRouteProven(test, total.oldAnswers, endpoints));
  const outcome = isProven ? { outcome: 'completed' as const } : {};
  return { ...buildVerdict(total), ...basis, isSound, ...outcome };
}

function buildVerdict(test: Test): Omit<RolloutVerdict, 'isSound' | 'recentEvidence'> {
  const { route, isRecent, good, bad, oldShare, evidence } = test;
  return {
    ...(route === undefined ? {} : { route }),
    ...(isRecent ? { isRecent } : {}),
    ...{ good, bad, oldShare, evidence },
  };
}

/** A route needs evidence in proportion to its requests; a rare one must only raise no doubt. */
function isRouteProven(
  test: Test,
  allOldAnswers: number,
  known: RolloutCounts['endpoints'],
): boolean {
  const needed = (routeFactor * test.oldAnswers) / Math.max(1, allOldAnswers);
  return computeSoundEvidence(test, known) <= -Math.min(maxRouteEvidence, needed);
}

/** Estimates the old side's share from answers with the time profile of the new side's. */
function estimateOldShare({ matched: [good, bad, squares] }: RouteCounts): number {
  const weight = good + bad;
  // Kish's effective size of a weighted sample.
  const answers = squares > 0 ? weight ** 2 / squares : 0;
  return computeBadShare({ answers, bad: weight > 0 ? (bad / weight) * answers : 0 });
}

function buildTotalTest(route: string | undefined, counts: RouteCounts): Test {
  const [good, bad] = counts.new;
  return buildTest(route, counts, {
    ...{ good, bad, oldShare: estimateOldShare(counts) },
    readSide: ([sideGood, sideBad]) => ({ good: sideGood, bad: sideBad }),
  });
}

/** The recent answers find what a long good past outweighs: a version that turns bad. */
function buildRecentTest(route: string | undefined, counts: RouteCounts): Test {
  const [, , good, bad] = counts.new;
  const [, , oldGood, oldBad] = counts.old;
  const all = estimateOldShare(counts);
  // With few recent answers of the old side, as in the last phase, its earlier share counts.
  const recent = computeBadShare({ answers: oldGood + oldBad, bad: oldBad }, all);
  const test = buildTest(route, counts, {
    ...{ good, bad, oldShare: Math.max(recent, all) },
    readSide: ([, , sideGood, sideBad]) => ({ good: sideGood, bad: sideBad }),
  });
  return { ...test, isRecent: true };
}

function buildTest(
  route: string | undefined,
  counts: RouteCounts,
  {
    readSide,
    ...side
  }: { good: number; bad: number; oldShare: number } & {
    readSide: (counts: SideCounts) => { good: number; bad: number };
  },
): Test {
  const { good, bad, oldShare } = side;
  const endpoints: Test['endpoints'] = {};
  Object.entries(counts.endpoints).forEach(([id, of]) => {
    endpoints[id as EndpointId] = readSide(of);
  });
  return {
    ...(route === undefined ? {} : { route }),
    ...side,
    ...{ evidence: computeEvidence(good, bad, oldShare), endpoints },
    oldAnswers: counts.old[0] + counts.old[1],
  };
}

/**
 * Whether the bad answers are of the version rather than of one endpoint or one data centre: without
 * the worst of them the evidence still has to reach Wald's bound. Where there is only one, it counts.
 */
function isOfVersion(test: Test, known: RolloutCounts['endpoints']): boolean {
  return listWithoutOne(test, known).every((evidence) => evidence >= waldEvidence);
}

/** The least evidence against the version, of all its answers or of those without a worst part. */
function computeSoundEvidence(test: Test, known: RolloutCounts['endpoints']): number {
  return Math.min(test.evidence, ...listWithoutOne(test, known));
}

/** Evidence without each endpoint, and without each data centre, of which there are several. */
function listWithoutOne(test: Test, known: RolloutCounts['endpoints']): number[] {
  const named = Object.keys(test.endpoints) as EndpointId[];
  if (named.length === 0) return [];
  const dataCentres = new Map<EndpointId, DataCentreId>();
  known.forEach(({ id, dataCentre }) => dataCentres.set(id, dataCentre));
  const ids = [...new Set([...named, ...dataCentres.keys()])];
  return [
    ...listWithoutGroups(test, ids, (id) => id),
    ...listWithoutGroups(test, ids, (id) => dataCentres.get(id) ?? id),
  ];
}

function listWithoutGroups(
  { endpoints, good, bad, oldShare }: Test,
  ids: readonly EndpointId[],
  readGroup: (id: EndpointId) => string,
): number[] {
  const groups = new Map<string, { good: number; bad: number }>();
  ids.forEach((id) => {
    const group = groups.get(readGroup(id)) ?? { good: 0, bad: 0 };
    const counts = endpoints[id] ?? { good: 0, bad: 0 };
    groups.set(readGroup(id), { good: group.good + counts.good, bad: group.bad + counts.bad });
  });
  if (groups.size < 2) return [];
  return [...groups.values()].map((group) =>
    computeEvidence(Math.max(0, good - group.good), Math.max(0, bad - group.bad), oldShare),
  );
}
