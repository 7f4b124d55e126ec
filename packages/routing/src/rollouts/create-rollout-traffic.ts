import type { Clock, EndpointId, Hash, ServiceId } from '@vanillarelay/core';
import { createAnswerTimes } from './create-answer-times.js';
import { createExposureQuota } from './create-exposure-quota.js';
import { createRolloutProgress } from './create-rollout-progress.js';
import type { KnownRollout } from './known-rollout.js';
import type { RolloutBounds } from './rollout-bounds.js';
import type { RolloutCounts } from './rollout-counts.js';
import type { RolloutProposal } from './rollout-proposal.js';
import type { RolloutVerdict } from './rollout-verdict.js';
import type { Rollout } from './rollout.js';
import type { VersionReports } from './version-reports.js';
import type { VersionSides } from './version-sides.js';

type Progress = ReturnType<typeof createRolloutProgress>;

interface TrafficOptions {
  clock: Pick<Clock, 'monotonic'>;
  hash: Hash;
  bounds: RolloutBounds;
  /** Monotonic time of the last contact with a hub that had recent contact with a quorum. */
  readContactAt: () => number;
  /** Endpoints of a version of a service. */
  listEndpoints: (service: ServiceId, version: string) => RolloutCounts['endpoints'];
  notifyStep: (service: ServiceId, to: string, step: object) => void;
  notifyVerdict: (service: ServiceId, to: string, verdict: RolloutVerdict) => void;
}

interface Outcome {
  service: ServiceId;
  route: string;
  endpoint: EndpointId;
  version: string | undefined;
  isBad: boolean;
  /** Time to the first byte or event; absent when there was none. */
  ms?: number;
  /** Key of the request's prompt; absent without one. */
  promptKey?: string;
}

/** Time after the last contact with a hub from which the new version gets nothing. */
const maxSilenceMs = 1_000;
/** Roll-outs in progress that a report covers, at most, which bounds its size. */
const maxReported = 8;

/**
 * Creates a router's part in roll-outs: which version a request may use, how many requests may go to
 * a new one, and what its answers say of it.
 */
export function createRolloutTraffic(options: TrafficOptions) {
  const { clock, hash, bounds, readContactAt } = options;
  const rollouts = new Map<ServiceId, Rollout>();
  const inProgress = new Map<ServiceId, Progress>();
  /** Versions that were rolled back and not ordered again since. */
  const rolledBack = new Map<ServiceId, Set<string>>();
  const times = createAnswerTimes();
  let remote: VersionReports = {};

  const startProgress = ({ service, rollout, ageMs }: KnownRollout): void => {
    const { to, startIndex } = rollout;
    const { exposeShare } = bounds;
    const quota = createExposureQuota({ exposeShare });
    const progress = createRolloutProgress({
      ...{ clock, hash, bounds, rollout, ageMs, quota },
      listNewEndpoints: () => options.listEndpoints(service, to),
      notifyStep: (step) => options.notifyStep(service, to, step),
      notifyVerdict: (verdict) => options.notifyVerdict(service, to, verdict),
    });
    inProgress.set(service, progress);
    progress.updateRemote(remote[startIndex] ?? {});
  };

  const updateRollout = (known: KnownRollout): void => {
    const { service, rollout, ageMs } = known;
    const last = rollouts.get(service);
    // A hub may be behind the one that was heard before.
    if (last && last.lastIndex > rollout.lastIndex) return;
    rollouts.set(service, rollout);
    const excluded = rolledBack.get(service) ?? new Set();
    rolledBack.set(service, excluded);
    if (rollout.state === 'rolledBack') excluded.add(rollout.to);
    else excluded.delete(rollout.to);
    if (rollout.state !== 'inProgress') inProgress.delete(service);
    else if (last?.startIndex !== rollout.startIndex) startProgress(known);
    else inProgress.get(service)?.updateAge(ageMs);
  };

  const hasContact = (): boolean => clock.monotonic() - readContactAt() <= maxSilenceMs;

  return {
    /** Takes the last roll-out of each service, from a state that a quorum has confirmed. */
    updateRollouts: (list: readonly KnownRollout[]): void => {
      list.forEach(updateRollout);
    },
    /**
     * How a request may use the versions of a service; undefined when no roll-out is known. Requests
     * with the same key are on the same side at all routers. A retry is not sent to the new version.
     */
    chooseSides: (service: ServiceId, key: string, isRetry = false): VersionSides | undefined => {
      const rollout = rollouts.get(service);
      if (!rollout) return undefined;
      const { to, state } = rollout;
      const excluded = rolledBack.get(service) ?? new Set();
      if (state === 'completed') return { to, onTo: 'preferred', onOthers: 'lastResort', excluded };
      if (state === 'rolledBack') return { to, onTo: 'excluded', onOthers: 'preferred', excluded };
      const found = inProgress.get(service)?.findUse(key) ?? 'lastResort';
      const isOpen = found !== 'preferred' || (hasContact() && !isRetry);
      const onTo = isOpen ? found : 'lastResort';
      return { to, onTo, onOthers: onTo === 'preferred' ? 'fallback' : 'preferred', excluded };
    },
    recordRequest: (service: ServiceId): void => inProgress.get(service)?.recordRequest(),
    recordSend: (service: ServiceId, version: string | undefined): void => {
      const progress = inProgress.get(service);
      if (progress && version === progress.rollout.to) progress.recordSend();
    },
    /** Records an answer, which also sets what is usual for later ones. */
    recordOutcome: (outcome: Outcome): void => {
      const { service, route, endpoint, version, ms, promptKey } = outcome;
      const progress = inProgress.get(service);
      const key = `${service} ${route}`;
      const isNew = progress !== undefined && version === progress.rollout.to;
      const mayLackCache = isNew && promptKey !== undefined && progress.takeFirst(promptKey);
      const isSlow =
        progress !== undefined && ms !== undefined && times.isSlow(key, ms, mayLackCache);
      const isBad = outcome.isBad || isSlow;
      if (!isNew && ms !== undefined) times.record(key, ms);
      progress?.recordAnswer({ route, isBad, ...(isNew ? { newEndpoint: endpoint } : {}) });
    },
    isInProgress: (): boolean => inProgress.size > 0,
    /** This router's counts, for the others. */
    readLocal: (): VersionReports =>
      Object.fromEntries(
        [...inProgress.values()]
          .slice(0, maxReported)
          .map((progress) => [progress.rollout.startIndex, progress.readCounts()]),
      ),
    /** Replaces the counts of the other routers. */
    updateRemote: (reports: VersionReports): void => {
      remote = reports;
      inProgress.forEach((progress) =>
        progress.updateRemote(reports[progress.rollout.startIndex] ?? {}),
      );
    },
    /** Ends that a hub should propose; `isOldEmpty` tells whether the other versions are idle. */
    listProposals: (isOldEmpty: (service: ServiceId, to: string) => boolean): RolloutProposal[] =>
      [...inProgress].flatMap(([service, progress]) => {
        const { startIndex, to } = progress.rollout;
        const outcome = progress.findOutcome(() => isOldEmpty(service, to));
        if (outcome === undefined) return [];
        return [{ service, startIndex, outcome, verdict: progress.readVerdict() }];
      }),
    /** Figures of the roll-outs in progress, for the metrics. */
    list: () =>
      [...inProgress].map(([service, progress]) => ({
        ...{ service, to: progress.rollout.to, verdict: progress.readVerdict() },
        ...progress.read(),
      })),
  };
}
