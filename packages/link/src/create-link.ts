import {
  withTimeout,
  type AccountId,
  type AgentClient,
  type Clock,
  type ContactReport,
  type Frame,
  type Hlc,
  type Random,
  type Report,
  type Timeline,
} from '@vanillarelay/core';
import { computeContact } from './compute-contact.js';
import { computeQuorumObservation } from './compute-quorum-observation.js';
import type { ContactEvidence } from './contact-evidence.js';
import { contactLimits } from './contact-limits.js';
import type { Contact } from './contact.js';
import type { ControlNode } from './control-node.js';
import { createContactProbe } from './create-contact-probe.js';
import { createVersionFetch } from './create-version-fetch.js';
import { createViewStore } from './create-view-store.js';

interface LinkOptions {
  clock: Clock;
  random: Random;
  hlc: Hlc;
  timeline: Timeline;
  controls: ControlNode[];
  /** Builds the fields of the report that the daemon supplies; called once per exchange. */
  buildReport: () => Omit<Report, 'stateVersion' | 'cursor' | 'contact' | 'at'>;
  /** Opens an agent to ask when no control node answers; without it the daemon asks no peers. */
  openPeer?: (address: string) => Pick<AgentClient, 'readContact'>;
}

/** Time limit of an exchange, above the 1 s for which a hub may delay its reply. */
const exchangeTimeoutMs = 1_500;
const retryDelayMs = 200;
/**
 * Upper limit of the retry delay, which doubles with each failure. It lets an overloaded hub
 * recover, but still allows a retry within the lease of 3 s.
 */
const maxRetryDelayMs = 1_000;
/**
 * Age of the latest evidence of a quorum at which the daemon starts to probe. It is above the age
 * reached in normal operation: the poll period of 1 s, plus 500 ms at a follower, whose leader
 * confirms the quorum every 250 ms and sends a heartbeat to the follower every 250 ms.
 */
const probeAfterMs = 1_600;
const probeIntervalMs = 150;

/**
 * Creates a daemon's link to the control nodes. One task polls a hub: it sends reports, and the hub
 * replies with frames. Another task probes for a live hub when there is no recent evidence of one.
 */
export function createLink(options: LinkOptions) {
  const { clock, random, hlc, timeline, controls, buildReport, openPeer } = options;
  const store = createViewStore();
  const stopping = new AbortController();
  const evidence: ContactEvidence = {
    quorumSeenAt: Number.NEGATIVE_INFINITY,
    relaySeenAt: Number.NEGATIVE_INFINITY,
    quorumLossSeenAt: Number.NEGATIVE_INFINITY,
    majorityLossSeenAt: Number.NEGATIVE_INFINITY,
    silenceSeenAt: Number.NEGATIVE_INFINITY,
    isStateConfirmed: false,
  };
  let lastContact: Contact = 'isolated';
  let lastReport: Report | undefined;
  let hub = controls[Math.floor(random() * controls.length)];
  let interrupt = new AbortController();
  let cursor = '';
  let failures = 0;
  /** Usage from reports that no hub has acknowledged yet. */
  let unsentUsage: Record<AccountId, number> = {};

  const readContact = (): Contact => {
    const contact = computeContact(evidence, clock.monotonic());
    if (contact !== lastContact) {
      timeline.record('contact.changed', { from: lastContact, to: contact });
    }
    lastContact = contact;
    return contact;
  };

  const probe = createContactProbe({
    ...{ clock, random, hlc, controls, store, evidence, openPeer },
    findSelf: () => ({
      endpoint: lastReport?.announcement?.id,
      dataCentre: lastReport?.dataCentre,
    }),
  });
  const receiveVersion = createVersionFetch({ clock, random, controls, store, probe });

  const buildFullReport = (): Report => {
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

  const recordQuorum = (frame: Frame, sentAt: number): void => {
    // A live quorum does not count until this daemon has the state that the quorum accepted.
    if (store.readVersion() < frame.stateVersion) return;
    // Not the time of arrival: a process that was suspended reads old frames when it resumes.
    const heldMs = Math.min(frame.heldMs, clock.monotonic() - sentAt);
    const seenAt = sentAt + heldMs - frame.quorumAgeMs;
    evidence.quorumSeenAt = Math.max(evidence.quorumSeenAt, seenAt);
    const isFresh = clock.monotonic() - seenAt <= contactLimits.quorumFreshMs;
    if (isFresh && !frame.more) evidence.isStateConfirmed = true;
  };

  const exchange = async (node: ControlNode): Promise<void> => {
    const sentAt = clock.monotonic();
    const report = buildFullReport();
    lastReport = report;
    interrupt = new AbortController();
    const interrupted = createAbortPromise(interrupt.signal);
    const frame = await withTimeout(clock, exchangeTimeoutMs, (signal) =>
      Promise.race([
        node.client.exchange(report, AbortSignal.any([signal, interrupt.signal])),
        interrupted,
      ]),
    );
    hlc.receive(frame.at);
    unsentUsage = {};
    cursor = frame.cursor;
    store.updateByFrame(frame, report.stateVersion);
    failures = 0;
    recordQuorum(frame, sentAt);
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
          replaceHub(chooseOtherNode(controls, node, random));
          const delayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2 ** failures);
          failures += 1;
          await clock.wait(delayMs * (0.5 + random()), stopping.signal);
        }
      }
    }
  };

  const runProbes = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      if (clock.monotonic() - evidence.quorumSeenAt > probeAfterMs) {
        const live = await probe.run();
        if (live) replaceHub(live);
        readContact();
      }
      await clock.wait(probeIntervalMs * (0.5 + random()), stopping.signal);
    }
  };

  return {
    start: (): void => {
      void runExchanges();
      void runProbes();
    },
    stop: (): void => {
      stopping.abort();
      interrupt.abort();
    },
    readView: store.readView,
    readContact,
    /**
     * Builds the reply to a peer that has state `stateVersion` and cannot reach the control nodes.
     */
    buildContactReport: (stateVersion: number): Omit<ContactReport, 'dataCentre'> => {
      const now = clock.monotonic();
      const { state } = store.readView();
      const isNewer = state !== undefined && state.version > stateVersion;
      return {
        contact: readContact(),
        sees: computeQuorumObservation(evidence, now),
        quorumAgeMs: Math.min(Number.MAX_SAFE_INTEGER, now - evidence.quorumSeenAt),
        ...(isNewer && evidence.isStateConfirmed ? { state } : {}),
      };
    },
    /**
     * Must be called with every state version that a message carries. Fetches the state when the
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

function chooseOtherNode(controls: ControlNode[], node: ControlNode, random: Random) {
  const others = controls.filter((other) => other !== node);
  return others[Math.floor(random() * others.length)] ?? node;
}
