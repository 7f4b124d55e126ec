import type { EndpointId } from '@vanillarelay/core';
import type { SentWork } from './sent-work.js';
import type { WorkReports } from './work-reports.js';

interface BacklogViewOptions {
  /** How long work takes at an endpoint; 1 is usual. */
  readFactor: (id: EndpointId, now: number) => number;
}

/**
 * Share of its reading that a request counts at least until its first event. Others may have sent
 * requests before it that this router does not know of, so it is probably later than expected.
 */
const minLeftShare = 0.5;
/** Time in which the trust in a report of the others halves. */
const reportHalfLifeMs = 800;
/** Age from which the reports of the others count as missing. */
const maxReportAgeMs = 2_000;
/**
 * Creates the view of what endpoints still have to read. An engine reads prompts in the order in
 * which they arrive, so the first event of a request shows that all earlier ones were read.
 */
export function createBacklogView({ readFactor }: BacklogViewOptions) {
  /** Requests whose first event has not arrived, in the order of their sends. */
  const works = new Map<EndpointId, SentWork[]>();
  let remote: Partial<WorkReports> = {};
  let reportedAt = -Infinity;

  const readOwn = (id: EndpointId, now: number): number => {
    const sent = works.get(id);
    if (!sent) return 0;
    const factor = readFactor(id, now);
    return sent.reduce((sum, { readMs, beginsAt }) => {
      const doneMs = Math.max(0, now - beginsAt) / factor;
      return sum + Math.max(readMs * minLeftShare, readMs - doneMs);
    }, 0);
  };

  const estimate = (id: EndpointId, now: number): number => {
    const ageMs = now - reportedAt;
    const trust = ageMs < maxReportAgeMs ? 0.5 ** (ageMs / reportHalfLifeMs) : 0;
    return readOwn(id, now) + (remote[id] ?? 0) * trust;
  };

  const removeWorks = (work: SentWork, isEarlierRead: boolean): void => {
    const sent = works.get(work.endpoint) ?? [];
    const position = sent.indexOf(work);
    if (position < 0) return;
    if (isEarlierRead) sent.splice(0, position + 1);
    else sent.splice(position, 1);
    if (sent.length === 0) works.delete(work.endpoint);
  };

  return {
    recordSend: (endpoint: EndpointId, readMs: number, now: number): SentWork => {
      const beginsAt = now + estimate(endpoint, now) * readFactor(endpoint, now);
      const work = { endpoint, readMs, beginsAt };
      works.set(endpoint, [...(works.get(endpoint) ?? []), work]);
      return work;
    },
    /** Records the first event of a request: it and all that were sent before it are read. */
    recordFirstEvent: (work: SentWork): void => removeWorks(work, true),
    /** Records that a request ended, also without a first event. */
    recordEnd: (work: SentWork): void => removeWorks(work, false),
    /** Reading before a new request at an endpoint, in milliseconds of usual speed. */
    estimate,
    /** Whether the reports of the others are recent enough to decide by them. */
    isCurrent: (now: number): boolean => now - reportedAt < maxReportAgeMs,
    readLocal: (now: number): WorkReports => {
      const reports: WorkReports = {};
      works.forEach((_, id) => {
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
