import type { DataCentreId, EndpointId } from '@vanillarelay/core';
import { computeBadShare } from './compute-bad-share.js';
import { computeEvidence } from './compute-evidence.js';
import { mergeRouteCounts } from './merge-route-counts.js';
import type { RolloutCounts } from './rollout-counts.js';
import type { RolloutVerdict } from './rollout-verdict.js';
import type { RouteCounts } from './route-counts.js';
import type { SideCounts } from './side-counts.js';

interface Test extends RolloutVerdict {
  oldAnswers: number;
  /** Answers of new endpoints within the test. */
  endpoints: Record<EndpointId, { good: number; bad: number }>;
}

/** Error rate of each of the two verdicts. */
const errorRate = 0.01;
/** Evidence at which Wald's test decides, with equal error rates. */
const waldEvidence = Math.log((1 - errorRate) / errorRate);
/** Evidence for good that each route with a usual share of the requests needs. */
const routeEvidence = Math.log(10);
/** Share of the old answers from which a route needs evidence of its own. */
const usualRouteShare = 0.1;
/** Evidence against a part of the answers that delays the verdict for good. */
const doubtEvidence = 1;
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
  if (against) return buildVerdict(against, 'rolledBack');
  const [total, ...byRoute] = totals;
  if (!total) throw new Error('no test of all answers');
  const isGood =
    ageMs >= durationMs * minAgeShare &&
    total.evidence <= -waldEvidence &&
    byRoute.every((test) => isRouteSound(test, total.oldAnswers)) &&
    recents.every(({ evidence }) => evidence < doubtEvidence);
  return buildVerdict(total, isGood ? 'completed' : undefined);
}

function buildVerdict(
  { route, isRecent, good, bad, oldShare, evidence }: Test,
  outcome: RolloutVerdict['outcome'],
): RolloutVerdict {
  return {
    ...(outcome ? { outcome } : {}),
    ...(route === undefined ? {} : { route }),
    ...(isRecent ? { isRecent } : {}),
    ...{ good, bad, oldShare, evidence },
  };
}

function isRouteSound({ evidence, oldAnswers }: Test, allOldAnswers: number): boolean {
  const isUsual = oldAnswers >= allOldAnswers * usualRouteShare;
  return evidence <= (isUsual ? -routeEvidence : doubtEvidence);
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
  const dataCentres = new Map<EndpointId, DataCentreId | undefined>(
    Object.keys(test.endpoints).map((id) => [id as EndpointId, undefined]),
  );
  known.forEach(({ id, dataCentre }) => dataCentres.set(id, dataCentre));
  return (
    isBadWithoutWorst(test, [...dataCentres.keys()], (id) => id) &&
    isBadWithoutWorst(test, [...dataCentres.keys()], (id) => dataCentres.get(id) ?? id)
  );
}

function isBadWithoutWorst(
  { endpoints, good, bad, oldShare }: Test,
  ids: readonly EndpointId[],
  readGroup: (id: EndpointId) => string,
): boolean {
  const groups = new Map<string, { good: number; bad: number }>();
  ids.forEach((id) => {
    const group = groups.get(readGroup(id)) ?? { good: 0, bad: 0 };
    const counts = endpoints[id] ?? { good: 0, bad: 0 };
    groups.set(readGroup(id), { good: group.good + counts.good, bad: group.bad + counts.bad });
  });
  if (groups.size < 2) return true;
  return [...groups.values()].every((group) => {
    const rest = { good: Math.max(0, good - group.good), bad: Math.max(0, bad - group.bad) };
    return computeEvidence(rest.good, rest.bad, oldShare) >= waldEvidence;
  });
}
