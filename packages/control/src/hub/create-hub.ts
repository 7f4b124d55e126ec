import type { Clock, DaemonId, Frame, Hlc, Report, Timeline } from '@vanillarelay/core';
import type { StateStore } from '../state-store.js';
import { createMemberTable } from './create-member-table.js';

interface HubOptions {
  id: DaemonId;
  clock: Clock;
  hlc: Hlc;
  timeline: Timeline;
  store: StateStore;
  /** Longest time that an exchange is held, in milliseconds. */
  periodMs?: number;
}

const defaultPeriodMs = 500;

/** Makes the hub: it collects the daemons' reports and answers with frames. */
export function createHub({ id, clock, hlc, store, periodMs = defaultPeriodMs }: HubOptions) {
  const table = createMemberTable();
  const waiters = new Set<() => void>();
  const versions = new Map<DaemonId, { version: number; seenAt: number; address: string }>();
  /** Cursors are valid for this run of the hub only. */
  const epoch = `${id}/${hlc.read()}`;

  store.observe(() => {
    waiters.forEach((wake) => wake());
    waiters.clear();
  });

  const buildFrame = (report: Report): Frame => {
    table.removeSilent(clock.monotonic());
    const [reportEpoch, since = '0'] = splitCursor(report.cursor);
    const state = store.readState().daemon;
    return {
      hub: id,
      quorumAgeMs: store.readQuorumAgeMs(),
      stateVersion: state.version,
      ...(state.version > report.stateVersion ? { state } : {}),
      cursor: `${epoch}#${table.readGeneration()}`,
      ...table.buildDelta(reportEpoch === epoch ? Number(since) : 0),
      shares: {},
      at: hlc.read(),
    };
  };

  const exchange = async (report: Report, signal: AbortSignal): Promise<Frame> => {
    hlc.receive(report.at);
    const now = clock.monotonic();
    versions.set(report.daemon, {
      version: report.stateVersion,
      seenAt: now,
      address: report.address,
    });
    if (report.announcement) table.receive(report.announcement, now);
    const isBehind = store.readState().daemon.version > report.stateVersion;
    if (!isBehind && report.cursor !== '') await waitForChange(signal);
    return buildFrame(report);
  };

  const waitForChange = async (signal: AbortSignal): Promise<void> => {
    const controller = new AbortController();
    const wake = () => controller.abort();
    waiters.add(wake);
    signal.addEventListener('abort', wake, { once: true });
    await clock.wait(periodMs, controller.signal);
    waiters.delete(wake);
    signal.removeEventListener('abort', wake);
  };

  return {
    exchange,
    listEndpoints: () => {
      const { members, loads } = table.buildDelta(0);
      const running = Buffer.from(loads, 'base64');
      return members.map(({ member, slot }) => ({ ...member, running: running[slot] ?? 0 }));
    },
    listDaemons: () => [...versions].map(([daemon, seen]) => ({ daemon, ...seen })),
  };
}

function splitCursor(cursor: string): string[] {
  return cursor.split('#');
}
