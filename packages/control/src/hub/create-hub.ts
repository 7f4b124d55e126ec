import {
  RelayError,
  ResultCode,
  type Announcement,
  type Clock,
  type DaemonId,
  type Frame,
  type Hlc,
  type QuorumReport,
  type Random,
  type Report,
  type Timeline,
} from '@vanillarelay/core';
import type { StateStore } from '../state-store.js';
import { computeHoldTime } from './compute-hold-time.js';
import { createDaemonTable } from './create-daemon-table.js';
import { createGossip } from './create-gossip.js';
import { createMemberTable } from './create-member-table.js';
import { createStateHistory } from './create-state-history.js';
import { createUsageTable } from './create-usage-table.js';
import type { HubPeer } from './hub-peer.js';

interface HubOptions {
  id: DaemonId;
  clock: Clock;
  hlc: Hlc;
  timeline: Timeline;
  store: StateStore;
  /** Adds jitter to the gossip intervals; without it they are all equal. */
  random?: Random;
  /** The other hubs of the control group. */
  peers?: readonly { id: DaemonId; peer: HubPeer }[];
}

/**
 * Time after its start during which a hub refuses exchanges, so that most daemons have reported
 * before it sends a membership.
 */
const warmUpMs = 1_200;
const updateIntervalMs = 500;
/** Suffix of the cursor of a daemon that has not received all changes yet. */
const moreSuffix = '#more';

/**
 * Creates a hub, which collects the daemons' reports and replies to each with a frame: the changes
 * of state and membership, and the loads.
 */
export function createHub(options: HubOptions) {
  const { id, clock, hlc, timeline, store, random = () => 0.5, peers = [] } = options;
  const isServing = ({ id: endpoint, dataCentre }: Announcement): boolean => {
    const { dataCentresOut, draining } = store.readState().daemon;
    return !dataCentresOut.includes(dataCentre) && !draining.includes(endpoint);
  };
  const members = createMemberTable({ isServing });
  const daemons = createDaemonTable();
  const usage = createUsageTable({ id, findOrigin: daemons.findOrigin });
  const history = createStateHistory();
  const waiters = new Set<() => void>();
  const stopping = new AbortController();
  const startedAt = clock.monotonic();
  /** Cursors are valid for this run of the hub only. */
  const epoch = `${id}/${hlc.read()}`;
  const gossip = createGossip({
    ...{ id, epoch, clock, random, hlc, peers, members, daemons, usage },
  });
  let hasWarmedUp = false;

  history.record(store.readState().daemon);
  const removeObserver = store.observe(({ daemon }) => {
    if (!history.record(daemon)) return;
    waiters.forEach((wake) => wake());
    waiters.clear();
  });

  const buildFrame = (report: Report, heldMs: number): Frame => {
    const now = clock.monotonic();
    members.update(now);
    const state = store.readState().daemon;
    const { generation, ...delta } = members.buildDelta(readCursor(report.cursor), report.services);
    return {
      hub: id,
      heldMs,
      quorumAgeMs: store.readStateAgeMs(),
      stateVersion: state.version,
      ...history.findUpdate(report.stateVersion),
      cursor: `${epoch}#${generation}${delta.more ? moreSuffix : ''}`,
      ...delta,
      shares:
        report.role === 'entry' ? usage.buildShares(report.daemon, state.config.accounts, now) : {},
      at: hlc.read(),
    };
  };

  const readCursor = (cursor: string): number => {
    const [cursorEpoch, generation] = cursor.split('#');
    return cursorEpoch === epoch ? Number(generation) : 0;
  };

  const receiveReport = (report: Report): void => {
    const now = clock.monotonic();
    hlc.receive(report.at);
    const { daemon, role, vm, dataCentre, address, incarnation, stateVersion, contact, at } =
      report;
    const row = { daemon, role, vm, dataCentre, address, incarnation, stateVersion, contact, at };
    if (!daemons.receive(row, now, id)) return;
    if (report.announcement) members.receive(report.announcement, now, id);
    if (report.usage) usage.receive(daemon, report.usage, now);
  };

  const exchange = async (report: Report, signal: AbortSignal): Promise<Frame> => {
    const receivedAt = clock.monotonic();
    hasWarmedUp ||= receivedAt - startedAt >= warmUpMs;
    receiveReport(hasWarmedUp ? report : { ...report, usage: undefined });
    if (!hasWarmedUp) {
      throw new RelayError(ResultCode.notReady, 'the hub has just started', { notRun: true });
    }
    const isBehind = store.readState().daemon.version > report.stateVersion;
    const isIncomplete = report.cursor === '' || report.cursor.endsWith(moreSuffix);
    if (!isBehind && !isIncomplete) await waitForChange(findHoldTime(report), signal);
    return buildFrame(report, clock.monotonic() - receivedAt);
  };

  const findHoldTime = (report: Report): number => {
    members.update(clock.monotonic());
    return computeHoldTime(members.countLoadBytes(report.services));
  };

  const waitForChange = async (holdMs: number, signal: AbortSignal): Promise<void> => {
    const controller = new AbortController();
    const wake = () => controller.abort();
    waiters.add(wake);
    signal.addEventListener('abort', wake, { once: true });
    await clock.wait(holdMs, controller.signal);
    waiters.delete(wake);
    signal.removeEventListener('abort', wake);
  };

  const runUpdates = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const now = clock.monotonic();
      members.update(now);
      daemons.removeSilent(now);
      usage.removeSilent(now);
      await clock.wait(updateIntervalMs, stopping.signal);
    }
  };

  return {
    exchange,
    gossip: gossip.receive,
    /** Reply to a daemon that asks the control nodes whether there is a quorum. */
    readQuorum: (stateVersion: number): QuorumReport => ({
      hub: id,
      quorumAgeMs: store.readStateAgeMs(),
      stateVersion: store.readState().daemon.version,
      ...history.findUpdate(stateVersion),
      at: hlc.read(),
    }),
    listEndpoints: () => members.listEndpoints(),
    listDaemons: () => daemons.list(clock.monotonic()),
    /** Reports the accepted version and the one in force separately. */
    readRollout: () => daemons.readRollout(store.readState().daemon.version, clock.monotonic()),
    start: (): void => {
      gossip.start(stopping.signal);
      void runUpdates();
      timeline.record('hub.started', { peers: peers.length });
    },
    stop: (): void => {
      stopping.abort();
      removeObserver();
    },
  };
}
