import {
  RelayError,
  ResultCode,
  withTimeout,
  type Clock,
  type CommandResult,
  type EventDetails,
} from '@vanillarelay/core';
import type { FleetPeer } from '../messages/fleet-peer.js';
import type { Proposal } from '../messages/proposal.js';
import type { ProposalReply } from '../messages/proposal-reply.js';
import type { DataCentreCommand } from '../state/data-centre-command.js';
import type { SharedCommand } from '../state/shared-command.js';
import type { SharedState } from '../state/shared-state.js';
import type { FleetView } from '../sync/fleet-view.js';
import { proposeConfig } from './propose-config.js';

interface OperatorCallsOptions {
  clock: Clock;
  view: Readonly<FleetView>;
  /** Lists the hub in use first, then the other known ones. */
  listHubs: () => string[];
  openPeer: (address: string) => FleetPeer;
  record: (name: string, details?: EventDetails) => void;
}

/** Time limit of an operator's call, below the 1 s after which operators try another daemon. */
const operatorTimeoutMs = 900;
/**
 * Time limit of each attempt within such a call, which leaves time to call other hubs when the last
 * known leader is cut off.
 */
const attemptTimeoutMs = 500;
const retryDelayMs = 50;
/** Interval at which a read checks whether the confirmed state has arrived. */
const indexPollIntervalMs = 10;

/** Creates the calls that a daemon makes to the leader for operators. */
export function createOperatorCalls(options: OperatorCallsOptions) {
  const { clock, view, listHubs, openPeer, record } = options;

  /** Calls the leader, then every hub, and repeats until a call succeeds or the time is up. */
  const callLeader = async <T>(
    name: string,
    call: (peer: FleetPeer, signal: AbortSignal) => Promise<T>,
  ): Promise<T> => {
    const startedAt = clock.monotonic();
    const deadline = startedAt + operatorTimeoutMs;
    let failure: Error = new RelayError(ResultCode.noQuorum, 'no hub is known', { notRun: true });
    while (clock.monotonic() < deadline) {
      const { leader } = view;
      const first = leader === undefined ? [] : [leader];
      for (const address of new Set([...first, ...listHubs()])) {
        const remainingMs = Math.min(deadline - clock.monotonic(), attemptTimeoutMs);
        if (remainingMs <= 0) break;
        try {
          return await withTimeout(clock, remainingMs, (signal) => call(openPeer(address), signal));
        } catch (error) {
          failure = error as Error;
          const ms = Math.round(clock.monotonic() - startedAt);
          record('fleet.callFailed', { call: name, to: address, ms, reason: failure.message });
        }
      }
      await clock.wait(retryDelayMs);
    }
    throw failure;
  };

  const readConfirmedState = async (): Promise<SharedState> => {
    const deadline = clock.monotonic() + operatorTimeoutMs;
    const { index } = await callLeader('readIndex', (peer, signal) => peer.readIndex(signal));
    while (view.state.index < index) {
      if (clock.monotonic() >= deadline) {
        const message = `state ${index} did not arrive in time`;
        throw new RelayError(ResultCode.timeout, message, { notRun: true });
      }
      await clock.wait(indexPollIntervalMs);
    }
    return view.state;
  };

  const callLeaderWith = (proposal: Proposal): Promise<ProposalReply> =>
    callLeader(proposal.type, (peer, signal) => peer.propose(proposal, signal));

  const proposeDataCentre = async (command: DataCentreCommand): Promise<CommandResult> => {
    const reply = await callLeaderWith(command);
    if (reply.type === 'result') return reply.result;
    throw new RelayError(ResultCode.internal, `${command.type} has no content to send`);
  };

  const propose = async (command: SharedCommand): Promise<CommandResult> => {
    if (command.type !== 'putConfig') return proposeDataCentre(command);
    const { state, isCurrent } = view;
    // What this daemon holds is committed, so a version that is not newer has no effect.
    if (isCurrent && command.version <= state.version) return { ok: true, index: state.index };
    return proposeConfig({ clock, command, held: state, callLeader: callLeaderWith });
  };

  return {
    propose,
    /** Reads the newest state, confirmed by a quorum. */
    readConfirmedState,
  };
}
