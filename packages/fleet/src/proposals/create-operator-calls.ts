import {
  RelayError,
  ResultCode,
  withTimeout,
  type Clock,
  type CommandResult,
  type EventDetails,
  type ServiceId,
} from '@vanillarelay/core';
import type { FleetPeer } from '../messages/fleet-peer.js';
import type { Proposal } from '../messages/proposal.js';
import type { ProposalReply } from '../messages/proposal-reply.js';
import type { EndRollout } from '../state/end-rollout.js';
import { listRolloutStarts } from '../state/list-rollout-starts.js';
import type { OrderCommand } from '../state/order-command.js';
import type { SharedCommand } from '../state/shared-command.js';
import type { SharedState } from '../state/shared-state.js';
import type { FleetView } from '../sync/fleet-view.js';
import type { OrderSender } from './order-sender.js';
import { proposeConfig } from './propose-config.js';

interface OperatorCallsOptions {
  clock: Clock;
  view: Readonly<FleetView>;
  /** Lists the hub in use first, then the other known ones. */
  listHubs: () => string[];
  openPeer: (address: string) => FleetPeer;
  record: (name: string, details?: EventDetails) => void;
  /** Resolves once everything that has reached this process by now was read. */
  waitForInput: () => Promise<void>;
  /** Whether a roll-out may have been started within the last `ms` milliseconds. */
  isRecentRollout: (startIndex: number, ms: number) => boolean;
}

/** When a call to the leader ends early. */
interface CallLimits {
  /** Monotonic time. */
  deadline?: number;
  /** Aborted once the operator has closed its connection. */
  signal?: AbortSignal | undefined;
}

/** Limits of an order of an operator. */
type OrderLimits = CallLimits & { deadline: number; sender?: OrderSender | undefined };

/** Time limit of an operator's call, below the 1 s after which operators try another daemon. */
const operatorTimeoutMs = 900;
/**
 * Time limit of each attempt within such a call, which leaves time to call other hubs when the last
 * known leader is cut off.
 */
const attemptTimeoutMs = 500;
const retryDelayMs = 50;
/** Time for which operators resend an order whose answer was lost. */
const resendMs = 5_000;
/** Time that the last resent order may spend on its way, or in a daemon that is paused. */
const resendMarginMs = 2_500;
/** Interval at which a read checks whether the confirmed state has arrived. */
const indexPollIntervalMs = 10;

/** Creates the calls that a daemon makes to the leader for operators. */
export function createOperatorCalls(options: OperatorCallsOptions) {
  const { clock, view, listHubs, openPeer, record } = options;

  /**
   * Calls the leader, then every hub, and repeats until a call succeeds, the time is up or the
   * operator has left.
   */
  const callLeader = async <T>(
    name: string,
    call: (peer: FleetPeer, signal: AbortSignal) => Promise<T>,
    { deadline = clock.monotonic() + operatorTimeoutMs, signal: operator }: CallLimits = {},
  ): Promise<T> => {
    const startedAt = clock.monotonic();
    let failure: Error = new RelayError(ResultCode.noQuorum, 'no hub is known', { notRun: true });
    while (clock.monotonic() < deadline && !operator?.aborted) {
      const { leader } = view;
      const first = leader === undefined ? [] : [leader];
      for (const address of new Set([...first, ...listHubs()])) {
        const remainingMs = Math.min(deadline - clock.monotonic(), attemptTimeoutMs);
        if (remainingMs <= 0 || operator?.aborted) break;
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

  const waitForState = async (index: number, deadline: number): Promise<void> => {
    while (view.state.index < index) {
      if (clock.monotonic() >= deadline) {
        const message = `state ${index} did not arrive in time`;
        throw new RelayError(ResultCode.timeout, message, { notRun: true });
      }
      await clock.wait(indexPollIntervalMs);
    }
  };

  const readConfirmedState = async (): Promise<SharedState> => {
    const deadline = clock.monotonic() + operatorTimeoutMs;
    const { index } = await callLeader('readIndex', (peer, signal) => peer.readIndex(signal));
    await waitForState(index, deadline);
    return view.state;
  };

  const callLeaderWith = (proposal: Proposal, limits?: CallLimits): Promise<ProposalReply> =>
    callLeader(proposal.type, (peer, signal) => peer.propose(proposal, signal), limits);

  /** Reads the index of the state that this daemon holds, or of the newest one. */
  const readIndex = async (isNewest: boolean, limits: CallLimits): Promise<number> => {
    if (!isNewest && view.isCurrent) return view.state.index;
    const reply = await callLeader('readIndex', (peer, signal) => peer.readIndex(signal), limits);
    return reply.index;
  };

  const proposeCommand = async (
    command: OrderCommand | EndRollout,
    limits?: CallLimits,
  ): Promise<CommandResult> => {
    const reply = await callLeaderWith(command, limits);
    if (reply.type === 'result') return reply.result;
    throw new RelayError(ResultCode.internal, `${command.type} has no content to send`);
  };

  /**
   * The result of an order that this one repeats, if it started a roll-out a short time ago. That
   * roll-out may have ended since, and a repeat must not start it again.
   */
  const findRepeated = (command: OrderCommand): CommandResult | undefined => {
    if (command.type !== 'startRollout') return undefined;
    const repeated = listRolloutStarts(view.state, command.service).find(
      ({ to, startIndex }) =>
        to === command.to && options.isRecentRollout(startIndex, resendMs + resendMarginMs),
    );
    return repeated && { ok: true, index: repeated.startIndex };
  };

  /**
   * Throws unless the operator still waits for its order. A close that has arrived is read first,
   * but one may also be lost or late: an order of an age at which operators call another daemon
   * counts as given up. After a pause of this process that is every order that it then reads.
   */
  const checkSender = async ({ sender, signal }: OrderLimits): Promise<void> => {
    await options.waitForInput();
    if (!signal?.aborted && (sender?.readAgeMs() ?? 0) < operatorTimeoutMs) return;
    throw new RelayError(ResultCode.cancelled, 'the operator may have given the order up', {
      notRun: true,
    });
  };

  /**
   * Proposes a command on top of a state, whose index is read before this daemon checks that the
   * operator still waits. So every order that the operator sends after it has given this one up has
   * a later index, and whatever delays the proposal from here on, it cannot undo such an order.
   */
  const proposeOnce = async (
    command: OrderCommand,
    isNewest: boolean,
    limits: OrderLimits,
  ): Promise<CommandResult> => {
    const base = await readIndex(isNewest, limits);
    // Whether a start is a repeat shows only in a state that is not older than its base.
    if (command.type === 'startRollout') await waitForState(base, limits.deadline);
    const repeated = findRepeated(command);
    if (repeated) return repeated;
    await checkSender(limits);
    return proposeCommand({ ...command, base }, limits);
  };

  const proposeOrder = async (
    command: OrderCommand,
    sender?: OrderSender,
  ): Promise<CommandResult> => {
    const remainingMs = operatorTimeoutMs - (sender?.readAgeMs() ?? 0);
    const limits = { deadline: clock.monotonic() + remainingMs, sender, signal: sender?.signal };
    let result = await proposeOnce(command, false, limits);
    while (!result.ok && result.code === ResultCode.staleFencingToken) {
      record('fleet.orderOutdated', buildOrderDetails(command));
      result = await proposeOnce(command, true, limits);
    }
    return result;
  };

  const propose = async (command: SharedCommand, sender?: OrderSender): Promise<CommandResult> => {
    if (command.type !== 'putConfig') return proposeOrder(command, sender);
    const { state, isCurrent } = view;
    // What this daemon holds is committed, so a version that is not newer has no effect.
    if (isCurrent && command.version <= state.version) return { ok: true, index: state.index };
    return proposeConfig({ clock, command, held: state, callLeader: callLeaderWith });
  };

  return {
    /**
     * Proposes a command. One for a data centre or a roll-out is not carried out when its sender has
     * closed its connection, or may have given it up, before it is sent to the leader.
     */
    propose,
    /**
     * Proposes the end of a roll-out, after the verdict of this hub. It has no effect on a roll-out
     * that has ended or on a later one of the service.
     */
    proposeRolloutEnd: (
      service: ServiceId,
      startIndex: number,
      outcome: EndRollout['outcome'],
    ): Promise<CommandResult> =>
      proposeCommand({ type: 'endRollout', service, startIndex, outcome }),
    /** Reads the newest state, confirmed by a quorum. */
    readConfirmedState,
  };
}

function buildOrderDetails(command: OrderCommand): EventDetails {
  return command.type === 'startRollout'
    ? { command: command.type, service: command.service }
    : { command: command.type, dataCentre: command.dataCentre };
}
