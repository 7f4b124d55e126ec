import type { EndpointId } from '@vanillarelay/core';
import type { SentWork } from './sent-work.js';
import type { WorkReports } from './work-reports.js';

interface BacklogViewOptions {
  /** How long work takes at an endpoint; 1 is usual. */
  readFactor: (id: EndpointId, now: number) => number;
}

interface Backlog {
  /** Requests whose first event has not arrived, in the order of their sends. */
  works: SentWork[];
  /** Reading of these requests that the endpoint has done since, as estimated. */
  doneMs: number;
  /** Time to which `doneMs` is computed. */
  at: number;
}

/** Time in which the trust in a report of the others halves. */
const reportHalfLifeMs = 300;
/** Age from which the reports of the others count as missing. */
const maxReportAgeMs = 2_000;
/** Share of its work that an endpoint is assumed to have done at most before an event shows it. */
const maxDoneShare = 0.9;

/**
 * Creates the view of what endpoints still have to read. An engine reads prompts in the order in
 * which they arrive, so the first event of a request shows that all earlier ones were read.
 */
export function createBacklogView({ readFactor }: BacklogViewOptions) {
  const backlogs = new Map<EndpointId, Backlog>();
  let remote: Partial<WorkReports> = {};
  let reportedAt = -Infinity;

  const updateDone = (id: EndpointId, backlog: Backlog, now: number): number => {
    const total = backlog.works.reduce((sum, { readMs }) => sum + readMs, 0);
    const doneMs = backlog.doneMs + (now - backlog.at) / readFactor(id, now);
    Object.assign(backlog, { doneMs: Math.min(total * maxDoneShare, doneMs), at: now });
    return total - backlog.doneMs;
  };

  const readOwn = (id: EndpointId, now: number): number => {
    const backlog = backlogs.get(id);
    return backlog ? updateDone(id, backlog, now) : 0;
  };

  const removeWorks = (work: SentWork, first: number, count: number, now: number): void => {
    const backlog = backlogs.get(work.endpoint);
    if (!backlog) return;
    updateDone(work.endpoint, backlog, now);
    const removed = backlog.works.splice(first, count);
    if (backlog.works.length === 0) backlogs.delete(work.endpoint);
    const removedMs = removed.reduce((sum, { readMs }) => sum + readMs, 0);
    backlog.doneMs = first === 0 ? Math.max(0, backlog.doneMs - removedMs) : backlog.doneMs;
  };

  const findPosition = (work: SentWork): number =>
    backlogs.get(work.endpoint)?.works.indexOf(work) ?? -1;

  return {
    recordSend: (endpoint: EndpointId, readMs: number, now: number): SentWork => {
      const work = { endpoint, readMs };
      const backlog = backlogs.get(endpoint) ?? { works: [], doneMs: 0, at: now };
      updateDone(endpoint, backlog, now);
      backlog.works.push(work);
      backlogs.set(endpoint, backlog);
      return work;
    },
    /** Records the first event of a request: it and all that were sent before it are read. */
    recordFirstEvent: (work: SentWork, now: number): void => {
      const position = findPosition(work);
      if (position >= 0) removeWorks(work, 0, position + 1, now);
    },
    /** Records that a request ended, also without a first event. */
    recordEnd: (work: SentWork, now: number): void => {
      const position = findPosition(work);
      if (position >= 0) removeWorks(work, position, 1, now);
    },
    /** Reading before a new request at an endpoint, in milliseconds of usual speed. */
    estimate: (id: EndpointId, now: number): number => {
      const ageMs = now - reportedAt;
      const trust = ageMs < maxReportAgeMs ? 0.5 ** (ageMs / reportHalfLifeMs) : 0;
      return readOwn(id, now) + (remote[id] ?? 0) * trust;
    },
    /** Whether the reports of the others are recent enough to decide by them. */
    isCurrent: (now: number): boolean => now - reportedAt < maxReportAgeMs,
    readLocal: (now: number): WorkReports => {
      const reports: WorkReports = {};
      backlogs.forEach((_, id) => {
        const ms = Math.round(readOwn(id, now));
        if (ms > 0) reports[id] = ms;
      });
      return reports;
    },
    /** Replaces the reports of the other routers. */
    updateRemote: (reports: WorkReports, now: number): void => {
      remote = reports;
      reportedAt = now;
    },
  };
}
