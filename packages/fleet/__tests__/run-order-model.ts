import {
  RelayError,
  createInputAge,
  type CommandResult,
  type DataCentreId,
} from '@vanillarelay/core';
import {
  createFakeNetwork,
  createSeededRandom,
  createVirtualClock,
  type VirtualProcess,
} from '@vanillarelay/scenarios';
import type { FleetPeer } from '../src/messages/fleet-peer.js';
import type { Proposal } from '../src/messages/proposal.js';
import { createOperatorCalls } from '../src/proposals/create-operator-calls.js';
import { applySharedCommand } from '../src/state/apply-shared-command.js';
import type { DataCentreCommand } from '../src/state/data-centre-command.js';
import { emptySharedState } from '../src/state/empty-shared-state.js';
import type { FleetView } from '../src/sync/fleet-view.js';

/** Calls that an operator makes to a daemon. */
interface DaemonCalls {
  order(command: DataCentreCommand, signal: AbortSignal): Promise<CommandResult>;
}

const daemonCount = 4;
const dataCentres = ['dc-1', 'dc-2'] as DataCentreId[];
const runMs = 25_000;
/** Time after which operators call the next daemon. */
const callTimeoutMs = 1_000;
/** Time for which operators resend an order. */
const resendMs = 4_000;
const maxPauseMs = 5_000;
const maxCommitMs = 40;
/** Share of the daemons whose messages to the leader arrive twice. */
const duplicateShare = 0.3;
const maxSyncMs = 400;
const minBackoffMs = 100;
/** How late a daemon may notice that an operator has closed its connection. */
const maxCloseDelayMs = 3_000;

/**
 * Plays operators, daemons and a leader on virtual time. Daemons and the leader pause, and operators
 * give calls up and resend their orders elsewhere. Returns each change that undid an acknowledged
 * order, and the numbers of calls and acknowledgements.
 */
export async function runOrderModel(seed: number, { hasPauses = true } = {}) {
  const random = createSeededRandom(seed);
  const virtual = createVirtualClock();
  const network = createFakeNetwork({
    ...{ virtual, random },
    readCloseDelay: () => (random() < 0.5 ? 0 : random() * maxCloseDelayMs),
  });
  const leader = virtual.createProcess('leader');
  const violations: string[] = [];
  /** The order of each data centre that is acknowledged and not followed by another one yet. */
  const inForce = new Map<DataCentreId, DataCentreCommand['type']>();
  let calls = 0;
  let acknowledged = 0;
  let index = 0;
  let state = emptySharedState;
  let lastCommit: Promise<unknown> = Promise.resolve();

  const isEnded = () => virtual.clock.monotonic() > runMs;

  const checkInForce = (): void => {
    inForce.forEach((type, dataCentre) => {
      const isOut = state.dataCentresOut.includes(dataCentre);
      if (isOut === (type === 'takeOutDataCentre')) return;
      const at = Math.round(virtual.clock.monotonic());
      violations.push(`seed ${seed}, ${at} ms: ${type} of ${dataCentre} was undone`);
      inForce.delete(dataCentre);
    });
  };

  const apply = (command: DataCentreCommand): CommandResult => {
    index += 1;
    try {
      state = applySharedCommand(state, command, index);
      checkInForce();
      return { ok: true, index };
    } catch (error) {
      if (!(error instanceof RelayError)) throw error;
      return { ok: false, code: error.code, message: error.message };
    }
  };

  const leaderCalls = {
    propose: async (proposal: Proposal) => {
      const commit = lastCommit.then(() => leader.clock.wait(random() * maxCommitMs));
      lastCommit = commit;
      await commit;
      return { type: 'result', result: apply(proposal as DataCentreCommand) };
    },
    readIndex: async () => ({ index: state.index }),
  } as unknown as FleetPeer;

  /** Keeps a daemon's view of the state up to date, with a delay. */
  const runSync = async (sync: () => Promise<void>): Promise<void> => {
    while (!isEnded()) {
      await sync().catch(() => {});
      await virtual.clock.wait(random() * maxSyncMs);
    }
  };

  const startDaemon = (id: string) => {
    const process = virtual.createProcess(id);
    if (random() < duplicateShare) network.startDuplicates(id, leader.id);
    const view = { leader: leader.id, state: emptySharedState, isCurrent: true };
    const peer = network.open(process, () => ({ process: leader, handlers: leaderCalls }));
    const { clock } = process;
    const inputAge = createInputAge({
      clock,
      scheduleTurn: (callback) => clock.startTimer(0, callback),
    });
    const operatorCalls = createOperatorCalls({
      waitForInput: () => clock.wait(0),
      ...{ clock, view: view as unknown as FleetView, record: () => {} },
      ...{ listHubs: () => [leader.id], openPeer: () => peer },
      isRecentRollout: () => false,
    });
    void runSync(async () => {
      const { index: known } = await peer.readIndex(new AbortController().signal);
      view.state = { ...view.state, index: Math.max(view.state.index, known) };
    });
    const handlers: DaemonCalls = {
      order: async (command, signal) => {
        const sender = { signal, readAgeMs: inputAge.startAge({}) };
        const result = await operatorCalls.propose(command, sender);
        if (!result.ok) throw new RelayError(result.code, result.message);
        return result;
      },
    };
    return { process, handlers };
  };
  const daemons = Array.from({ length: daemonCount }, (_, number) => startDaemon(`d-${number}`));

  const runPauses = async (process: VirtualProcess): Promise<void> => {
    while (!isEnded()) {
      await virtual.clock.wait(random() * maxPauseMs);
      process.freeze();
      await virtual.clock.wait(random() ** 2 * maxPauseMs);
      process.resume();
    }
  };

  /** Calls one daemon; resolves with whether it acknowledged the order. */
  const call = async (from: VirtualProcess, command: DataCentreCommand): Promise<boolean> => {
    calls += 1;
    const daemon = daemons[Math.floor(random() * daemons.length)];
    const timeout = new AbortController();
    const cancel = virtual.clock.startTimer(callTimeoutMs, () => timeout.abort());
    try {
      await network.open<DaemonCalls>(from, () => daemon).order(command, timeout.signal);
      return true;
    } catch {
      return false;
    } finally {
      cancel();
    }
  };

  const sendOrder = async (from: VirtualProcess, command: DataCentreCommand): Promise<void> => {
    const { dataCentre, type } = command;
    const deadline = virtual.clock.monotonic() + resendMs;
    inForce.delete(dataCentre);
    while (virtual.clock.monotonic() < deadline) {
      if (await call(from, { ...command })) {
        acknowledged += 1;
        inForce.set(dataCentre, type);
        checkInForce();
        return;
      }
      await virtual.clock.wait(minBackoffMs * (1 + random() * 2));
    }
  };

  const runOperator = async (dataCentre: DataCentreId): Promise<void> => {
    const operator = virtual.createProcess(`operator-${dataCentre}`);
    while (!isEnded()) {
      const type = random() < 0.5 ? 'takeOutDataCentre' : 'bringBackDataCentre';
      await sendOrder(operator, { type, dataCentre });
      await virtual.clock.wait(random() * 1_500);
    }
  };

  const paused = hasPauses ? [leader, ...daemons.map(({ process }) => process)] : [];
  paused.forEach((process) => {
    void runPauses(process);
  });
  dataCentres.forEach((dataCentre) => {
    void runOperator(dataCentre);
  });
  await virtual.run(runMs + 2 * maxPauseMs + resendMs);
  return { violations, calls, acknowledged };
}
