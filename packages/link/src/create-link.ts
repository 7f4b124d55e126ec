import {
  withDeadline,
  type AccountId,
  type AgentClient,
  type Clock,
  type ContactReport,
  type Hlc,
  type Random,
  type Report,
  type Timeline,
} from '@vanillarelay/core';
import { computeContact } from './compute-contact.js';
import { computeSees } from './compute-sees.js';
import type { ContactEvidence } from './contact-evidence.js';
import { contactLimits } from './contact-limits.js';
import type { Contact } from './contact.js';
import type { ControlNode } from './control-node.js';
import { createSurvey } from './create-survey.js';
import { createVersionFetch } from './create-version-fetch.js';
import { createViewStore } from './create-view-store.js';

interface LinkOptions {
  clock: Clock;
  random: Random;
  hlc: Hlc;
  timeline: Timeline;
  controls: ControlNode[];
  /** The daemon's part of the report; called once an exchange. */
  buildReport: () => Omit<Report, 'stateVersion' | 'cursor' | 'contact' | 'at'>;
  /** Reaches an agent when no control node answers; without it the daemon asks no peers. */
  openPeer?: (address: string) => Pick<AgentClient, 'readContact'>;
}

/** The hub holds an exchange for at most 1 s. */
const exchangeTimeoutMs = 1_500;
const retryDelayMs = 200;
/** Lets an overloaded hub recover; short enough that a daemon tries again within the lease of 3 s. */
const maxRetryDelayMs = 1_000;
/**
 * Above the age that evidence reaches in good order: a period of 1 s, and 500 ms at a follower whose
 * leader hears a quorum and tells it each 250 ms.
 */
const surveyAfterMs = 1_600;
const surveyIntervalMs = 150;

/** Makes the daemon's side of the exchange with control: one task polls a hub, one looks for others. */
export function createLink(options: LinkOptions) {
  const { clock, random, hlc, timeline, controls, buildReport, openPeer } = options;
  const store = createViewStore();
  const stopping = new AbortController();
  const evidence: ContactEvidence = {
    quorumSeenAt: Number.NEGATIVE_INFINITY,
    relaySeenAt: Number.NEGATIVE_INFINITY,
    lossSeenAt: Number.NEGATIVE_INFINITY,
    majorityLossSeenAt: Number.NEGATIVE_INFINITY,
    silenceSeenAt: Number.NEGATIVE_INFINITY,
    isConfirmed: false,
  };
  let lastContact: Contact = 'isolated';
  let lastReport: Report | undefined;
  let hub = controls[Math.floor(random() * controls.length)];
  let interrupt = new AbortController();
  let cursor = '';
  let failures = 0;
  /** Usage of reports that no hub has acknowledged. */
  let unsentUsage: Record<AccountId, number> = {};

  const readContact = (): Contact => {
    const contact = computeContact(evidence, clock.monotonic());
    if (contact !== lastContact) {
      timeline.record('contact.changed', { from: lastContact, to: contact });
    }
    lastContact = contact;
    return contact;
  };

  const survey = createSurvey({
    ...{ clock, random, hlc, controls, store, evidence, openPeer },
    findSelf: () => ({
      endpoint: lastReport?.announcement?.id,
      dataCentre: lastReport?.dataCentre,
    }),
  });
  const receiveVersion = createVersionFetch({ clock, random, controls, store, survey });

  const buildWholeReport = (): Report => {
    const report: Report = {
      ...buildReport(),
      contact: readContact(),
      stateVersion: store.readVersion(),
      cursor,
      at: hlc.read(),
    };
    Object.entries(report.usage ?? {}).forEach(([account, count]) => {
      const id = account as AccountId;
      unsentUsage[id] = (unsentUsage[id] ?? 0) + count;
    });
    return report.usage ? { ...report, usage: unsentUsage } : report;
  };

  const replaceHub = (next: ControlNode | undefined): void => {
    if (next === hub) return;
    timeline.record('hub.changed', { from: hub?.id ?? '', to: next?.id ?? '' });
    hub = next;
    cursor = '';
    interrupt.abort();
  };

  const exchange = async (node: ControlNode): Promise<void> => {
    const sentAt = clock.monotonic();
    const report = buildWholeReport();
    lastReport = report;
    interrupt = new AbortController();
    const interrupted = createAbortPromise(interrupt.signal);
    const frame = await withDeadline(clock, exchangeTimeoutMs, (signal) =>
      Promise.race([
        node.client.exchange(report, AbortSignal.any([signal, interrupt.signal])),
        interrupted,
      ]),
    );
    hlc.receive(frame.at);
    unsentUsage = {};
    cursor = frame.cursor;
    store.updateByFrame(frame, report.stateVersion);
    // Not the time of arrival: a frozen daemon finds old frames in its socket when it wakes.
    const heldMs = Math.min(frame.heldMs, clock.monotonic() - sentAt);
    const seenAt = sentAt + heldMs - frame.quorumAgeMs;
    evidence.quorumSeenAt = Math.max(evidence.quorumSeenAt, seenAt);
    const isFresh = clock.monotonic() - seenAt <= contactLimits.quorumFreshMs;
    const isComplete = !frame.more && store.readVersion() >= frame.stateVersion;
    if (isFresh && isComplete) evidence.isConfirmed = true;
    failures = 0;
    readContact();
  };

  const runExchanges = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const node = hub;
      if (!node) return;
      try {
        await exchange(node);
      } catch {
        readContact();
        if (hub === node) {
          replaceHub(chooseOther(controls, node, random));
          const delayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2 ** failures);
          failures += 1;
          await clock.wait(delayMs * (0.5 + random()), stopping.signal);
        }
      }
    }
  };

  const runSurveys = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      if (clock.monotonic() - evidence.quorumSeenAt > surveyAfterMs) {
        const live = await survey.run();
        if (live) replaceHub(live);
        readContact();
      }
      await clock.wait(surveyIntervalMs * (0.5 + random()), stopping.signal);
    }
  };

  return {
    start: (): void => {
      void runExchanges();
      void runSurveys();
    },
    stop: (): void => {
      stopping.abort();
      interrupt.abort();
    },
    readView: store.readView,
    readContact,
    /** The answer to a peer that lost control and runs at `stateVersion`. */
    buildContactReport: (stateVersion: number): Omit<ContactReport, 'dataCentre'> => {
      const now = clock.monotonic();
      const { state } = store.readView();
      const isNewer = state !== undefined && state.version > stateVersion;
      return {
        contact: readContact(),
        sees: computeSees(evidence, now),
        quorumAgeMs: Math.min(Number.MAX_SAFE_INTEGER, now - evidence.quorumSeenAt),
        ...(isNewer && evidence.isConfirmed ? { state } : {}),
      };
    },
    /**
     * To be called with each state version that a message carries. Fetches the state soon when the
     * version is newer; resolves to whether the view has reached it within a second.
     */
    receiveVersion,
    views: store.views,
  };
}

function createAbortPromise(signal: AbortSignal): Promise<never> {
  const promise = new Promise<never>((_, reject) => {
    signal.addEventListener('abort', () => reject(new Error('interrupted')), { once: true });
  });
  promise.catch(() => {});
  return promise;
}

function chooseOther(controls: ControlNode[], node: ControlNode, random: Random) {
  const others = controls.filter((other) => other !== node);
  return others[Math.floor(random() * others.length)] ?? node;
}
