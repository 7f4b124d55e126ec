import { withTimeout, type Clock, type EventDetails, type Random } from '@vanillarelay/core';
import type { EndpointTable } from '@vanillarelay/routing';
import type { Content } from '../content/content.js';
import type { ContentHash } from '../content/content-hash.js';
import type { ContentPart } from '../content/content-part.js';
import { buildObservations } from '../messages/build-observations.js';
import type { DaemonInfo } from '../messages/daemon-info.js';
import type { FleetPeer } from '../messages/fleet-peer.js';
import type { Founder } from '../messages/founder.js';
import type { Observations } from '../messages/observations.js';
import type { SyncReply } from '../messages/sync-reply.js';
import { emptySharedState } from '../state/empty-shared-state.js';
import type { SharedState } from '../state/shared-state.js';
import type { StateSummary } from '../state/state-summary.js';
import { createExchange } from './create-exchange.js';
import { createGrowingTime } from './create-growing-time.js';
import { createHubChoice } from './create-hub-choice.js';
import { createHubSearch } from './create-hub-search.js';
import { createStateReceiver } from './create-state-receiver.js';
import type { FleetView } from './fleet-view.js';
import type { RolloutAgeRecord } from './rollout-age-record.js';

interface SyncClientOptions {
  clock: Clock;
  random: Random;
  readSelf: () => DaemonInfo;
  /** Addresses of daemons to ask for the hubs. */
  listSeeds: () => string[];
  /** Whether this daemon is a hub that has recent contact with a quorum. */
  isOwnHub: () => boolean;
  /** Whether this daemon may become a founder of the control group. */
  mayFound: () => boolean;
  openPeer: (address: string) => FleetPeer;
  table: EndpointTable;
  rolloutAges: RolloutAgeRecord;
  /** Finds a configuration that this daemon's own hub keeps. */
  findContent: (hash: ContentHash) => Content | undefined;
  readObservations: () => Observations;
  /** Called with the founders of the control group once they are selected. */
  receiveFounders: (founders: Founder[]) => void;
  /** Called with the summed observations of the other daemons. */
  notifyObservations: (observations: Observations) => void;
  /** Called when the shared state has changed. */
  notifyState: (state: SharedState) => void;
  record: (name: string, details?: EventDetails) => void;
}

/** The parts of the state that operators order apart from the configuration. */
type NewestOrders = Pick<StateSummary, 'index' | 'dataCentresOut' | 'rollouts' | 'rolloutStarts'>;

/** How long a hub may delay its reply while there are no changes. */
const pollWaitMs = 200;
const minPauseMs = 60;
const noRollouts: Pick<SharedState, 'rollouts' | 'rolloutStarts'> = {
  rollouts: {},
  rolloutStarts: {},
};
const retryDelayMs = 100;
/** Pause after an exchange that brought no usable state while this daemon has none. */
const minStartPauseMs = 20;
const maxStartPauseMs = 100;
/**
 * How long a hub may delay its reply to a daemon without a state until it has a usable one, and the
 * time allowed for that reply beyond. Both are short at first, because the hub may be without power
 * or cut off from the others; they grow, because many daemons may ask at once.
 */
const minQuorumWaitMs = 40;
const maxQuorumWaitMs = 200;
const minStartMarginMs = 100;
const maxStartMarginMs = 2_400;
/** How often a daemon in search of the hubs looks for a hub to use. */
const searchIntervalMs = 20;
/** How long a peer may delay its answer to a search until it knows the hubs. */
const maxHelloWaitMs = 200;
/** Share of the time for an answer that a peer may wait. */
const helloWaitShare = 0.4;
/** Age of a hub's state above which other hubs are preferred. */
const stateAgeLimitMs = 1_000;
/** A daemon applies its first state only from a hub whose state is at most this old. */
const initialStateAgeLimitMs = 2_000;

/**
 * Creates the client that keeps a daemon's view of the fleet current by syncing with one hub; it
 * changes to another hub after a failure.
 */
export function createSyncClient(options: SyncClientOptions) {
  const { clock, readSelf, openPeer, table, record } = options;
  const abort = new AbortController();
  const view: FleetView = {
    state: emptySharedState,
    isCurrent: false,
    hubs: [],
    daemons: [readSelf()],
    quorumContactAt: Number.NEGATIVE_INFINITY,
  };
  const choice = createHubChoice(options);
  const startPause = createGrowingTime({
    ...{ minMs: minStartPauseMs, maxMs: maxStartPauseMs, random: options.random },
  });
  const quorumWait = createGrowingTime({ minMs: minQuorumWaitMs, maxMs: maxQuorumWaitMs });
  const startMargin = createGrowingTime({ minMs: minStartMarginMs, maxMs: maxStartMarginMs });
  const callHub = createExchange({ clock, readSelf, openPeer, table, record });
  /** Position up to which this daemon has reported announcements to a hub. */
  let reportedCursor = 0;
  const receiver = createStateReceiver({
    ...{ clock, record, findContent: options.findContent },
    readHeld: () => view.state,
  });
  /** The newest known orders of operators, which do not wait for a configuration. */
  let newest: NewestOrders = emptySharedState;

  const applyState = (received: StateSummary, part?: ContentPart): void => {
    // A hub of an earlier version knows no roll-outs, and tells no ages.
    const summary = { ...noRollouts, ...received };
    if (summary.index > newest.index) newest = summary;
    options.rolloutAges.recordHeld(newest, Infinity);
    const complete = receiver.receive(summary, part);
    const next = complete && complete.index > view.state.index ? complete : view.state;
    const { dataCentresOut, rollouts, rolloutStarts } = newest;
    if (next === view.state && dataCentresOut === view.state.dataCentresOut) return;
    view.state = { ...next, dataCentresOut, rollouts, rolloutStarts };
    if (view.isCurrent) options.notifyState(view.state);
  };

  /** Marks the view as current once it holds what a hub with recent quorum contact has. */
  const updateIsCurrent = ({ state, stateAgeMs, hasMoreRecords }: SyncReply): void => {
    const isComplete = view.state.index >= (state?.index ?? 0) && !hasMoreRecords;
    if (view.isCurrent || !isComplete || stateAgeMs > initialStateAgeLimitMs) return;
    view.isCurrent = true;
    if (view.state.index > 0) options.notifyState(view.state);
    record('fleet.current', { index: view.state.index, version: view.state.version });
  };

  const applyReply = (reply: SyncReply): void => {
    const { stateAgeMs } = reply;
    if (reply.hubs.length > 0) view.hubs = reply.hubs;
    if (reply.daemons) view.daemons = reply.daemons;
    options.notifyObservations(buildObservations(reply.observations));
    if (reply.leader === undefined) delete view.leader;
    else view.leader = reply.leader;
    if (stateAgeMs <= stateAgeLimitMs) view.quorumContactAt = clock.monotonic();
    options.rolloutAges.receive(reply.rolloutAges);
    const mayApplyState = view.isCurrent || stateAgeMs <= initialStateAgeLimitMs;
    if (reply.state && mayApplyState) applyState(reply.state, reply.part);
    updateIsCurrent(reply);
  };

  const exchange = async (address: string): Promise<SyncReply> => {
    const cursor = table.readLastHeardCursor();
    const input = {
      isHub: false,
      stateIndex: view.isCurrent ? view.state.index : -1,
      content: receiver.readPosition(),
      observations: options.readObservations(),
      // This daemon's own hub uses the same table.
      heard: address === readSelf().address ? [] : table.listHeard(reportedCursor),
      waitMs: view.isCurrent ? pollWaitMs : 0,
      ...(view.isCurrent ? {} : { quorumWaitMs: quorumWait.take() }),
    };
    const reply = await callHub(address, input, ...(view.isCurrent ? [] : [startMargin.take()]));
    startMargin.reset();
    reportedCursor = cursor;
    applyReply(reply);
    if (reply.stateAgeMs <= stateAgeLimitMs) choice.endBackoff(address);
    else choice.startBackoff(address, { isReachable: true, isStarting: !view.isCurrent });
    return reply;
  };

  /** Aborted when addresses of hubs have arrived. */
  let news = new AbortController();

  /** Adds addresses of hubs; this daemon's own only while its hub is usable. */
  const addHubs = (hubs: readonly string[]): void => {
    const { address } = readSelf();
    const usable = hubs.filter((candidate) => candidate !== address || options.isOwnHub());
    view.hubs = [...new Set([...usable, ...view.hubs])];
    if (usable.length > 0) news.abort();
  };

  /** Requests the addresses of the hubs from a seed or a known hub. */
  const requestHubs = async (peer: string, timeoutMs: number): Promise<void> => {
    const mayFound = options.mayFound();
    const waitMs = Math.min(maxHelloWaitMs, timeoutMs * helloWaitShare);
    const request = { from: readSelf(), mayFound, hubs: view.hubs, waitMs };
    try {
      const reply = await withTimeout(clock, timeoutMs, (signal) =>
        openPeer(peer).hello(request, signal),
      );
      addHubs(reply.hubs);
      if (reply.founders) options.receiveFounders(reply.founders);
    } catch (error) {
      if (view.isCurrent) record('fleet.seedFailed', { peer, reason: (error as Error).message });
    }
  };

  const search = createHubSearch({
    ...{ clock, random: options.random, ask: requestHubs },
    listPeers: () => [...new Set([...options.listSeeds(), ...view.hubs])],
  });

  const syncWith = async (address: string): Promise<void> => {
    const startedAt = clock.monotonic();
    try {
      const before = receiver.readPosition().incoming;
      const { hasMoreRecords } = await exchange(address);
      const { incoming } = receiver.readPosition();
      const hasReceivedPart = incoming !== undefined && incoming.offset !== before?.offset;
      const hasMore = hasMoreRecords || hasReceivedPart;
      if (hasMore) return;
      await clock.wait(view.isCurrent ? minPauseMs : startPause.take(), abort.signal);
    } catch (error) {
      choice.startBackoff(address, { isReachable: false, isStarting: !view.isCurrent });
      const ms = Math.round(clock.monotonic() - startedAt);
      record('fleet.hubFailed', { hub: address, ms, reason: (error as Error).message });
    }
  };

  const syncOnce = async (): Promise<void> => {
    const before = choice.readCurrent();
    const address = choice.choose(view);
    if (address !== undefined) {
      if (address !== before) record('fleet.hubChosen', { hub: address, before: before ?? '' });
      search.stop();
      await syncWith(address);
      return;
    }
    search.start();
    news = new AbortController();
    await clock.wait(searchIntervalMs, news.signal);
  };

  const run = async (): Promise<void> => {
    while (!abort.signal.aborted) {
      try {
        await syncOnce();
      } catch (error) {
        // A daemon that stopped here would never follow the fleet again.
        record('fleet.syncFailed', { reason: (error as Error).message });
        await clock.wait(retryDelayMs, abort.signal);
      }
    }
  };

  return {
    view: view as Readonly<FleetView>,
    start: (): void => {
      void run();
    },
    stop: (): void => {
      abort.abort();
      search.stop();
    },
    addHubs,
    /** Lists the hub in use first, then the other known ones. */
    listHubs: (): string[] => {
      const current = choice.readCurrent();
      return [...new Set([...(current === undefined ? [] : [current]), ...view.hubs])];
    },
  };
}
