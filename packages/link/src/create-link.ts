import type {
  Clock,
  ControlClient,
  DaemonId,
  Frame,
  Hlc,
  Random,
  Report,
  Timeline,
} from '@vanillarelay/core';
import { createSource, withDeadline } from '@vanillarelay/core';
import { applyFrame } from './apply-frame.js';
import type { Contact } from './contact.js';
import type { FleetView } from './fleet-view.js';

interface LinkOptions {
  clock: Clock;
  random: Random;
  hlc: Hlc;
  timeline: Timeline;
  controls: { id: DaemonId; client: ControlClient }[];
  /** The daemon's part of the report; called once an exchange. */
  buildReport: () => Omit<Report, 'stateVersion' | 'cursor' | 'at'>;
}

const exchangeTimeoutMs = 2_500;
const retryDelayMs = 200;
const quorumLeaseMs = 3_000;

const emptyView: FleetView = {
  state: undefined,
  members: new Map(),
  loads: new Map(),
  means: {},
  shares: {},
};

/** Makes the daemon's side of the exchange with control: one task that polls one hub at a time. */
export function createLink(options: LinkOptions) {
  const { clock, random, hlc, timeline, controls, buildReport } = options;
  const table = { members: new Map(), slots: new Map() };
  const frames = createSource<Frame>();
  const stopping = new AbortController();
  let view = emptyView;
  let contact: Contact = 'isolated';
  let hubIndex = Math.floor(random() * controls.length);
  let cursor = '';
  let quorumSeenAt = Number.NEGATIVE_INFINITY;

  const views = frames.stream.map((frame) => {
    view = applyFrame(view, table, frame);
    return view;
  });

  const readContact = (): Contact => {
    const next = clock.monotonic() - quorumSeenAt <= quorumLeaseMs ? 'attached' : 'isolated';
    if (next !== contact) timeline.record('contact.changed', { from: contact, to: next });
    contact = next;
    return contact;
  };

  const exchange = async (): Promise<void> => {
    const hub = controls[hubIndex];
    if (!hub) return;
    const report: Report = {
      ...buildReport(),
      stateVersion: view.state?.version ?? 0,
      cursor,
      at: hlc.read(),
    };
    const frame = await withDeadline(clock, exchangeTimeoutMs, (signal) =>
      hub.client.exchange(report, signal),
    );
    hlc.receive(frame.at);
    cursor = frame.cursor;
    quorumSeenAt = Math.max(quorumSeenAt, clock.monotonic() - frame.quorumAgeMs);
    frames.push(frame);
    readContact();
  };

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      try {
        await exchange();
      } catch {
        hubIndex = (hubIndex + 1) % controls.length;
        cursor = '';
        readContact();
        await clock.wait(retryDelayMs * (0.5 + random()), stopping.signal);
      }
    }
  };

  return {
    start: (): void => {
      void views.drain();
      void run();
    },
    stop: (): void => stopping.abort(),
    readView: (): FleetView => view,
    readContact,
    views,
  };
}
