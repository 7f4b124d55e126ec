import {
  RelayError,
  ResultCode,
  withTimeout,
  type Clock,
  type Command,
  type CommandResult,
  type Random,
} from '@vanillarelay/core';
import type { ControlNode } from './control-node.js';
import { isIdempotent } from './is-idempotent.js';

interface ProposerOptions {
  clock: Clock;
  random: Random;
  controls: readonly ControlNode[];
  /** Time limit of a proposal including its retries, in milliseconds. */
  limitMs?: number;
}

interface Attempt {
  result?: CommandResult;
  /** Whether it is certain that the node has not accepted the command and never will. */
  notRun: boolean;
  /** The leader that the node named. */
  leader?: string;
}

/**
 * Time limit of a proposal by default. It covers up to 2 s until the loss of the leader is detected
 * and an election of 1 to 2 s.
 */
const defaultLimitMs = 5_000;
const attemptTimeoutMs = 1_500;
const retryDelayMs = 100;

/** Creates a function that proposes commands, with failover between the control nodes. */
export function createProposer(options: ProposerOptions) {
  const { clock, random, controls, limitMs = defaultLimitMs } = options;
  let preferred = Math.floor(random() * controls.length);

  const callNode = async (
    index: number,
    command: Command,
    signal: AbortSignal,
    timeoutMs: number,
  ): Promise<Attempt> => {
    const node = controls[index];
    if (!node) return { notRun: true };
    try {
      const result = await withTimeout(clock, timeoutMs, (timeout) =>
        node.client.propose(command, AbortSignal.any([timeout, signal])),
      );
      return result.ok ? { result, notRun: false } : readRefusal(result);
    } catch (error) {
      if (!(error instanceof RelayError)) return { notRun: false };
      if (error.code === ResultCode.notLeader)
        return { notRun: true, ...parseLeader(error.leader) };
      return { notRun: error.notRun };
    }
  };

  const findIndex = (index: number, leader: string | undefined): number => {
    const named = controls.findIndex(({ id }) => id === leader);
    return named >= 0 && named !== index ? named : (index + 1) % controls.length;
  };

  /**
   * Resolves with the result from the log. Rejects with `noQuorum`, and with `notRun: true` only
   * when no node can have accepted the command. A command that may have been accepted is sent again
   * only when it is idempotent.
   */
  return async (command: Command, signal: AbortSignal): Promise<CommandResult> => {
    const endsAt = clock.monotonic() + limitMs;
    let index = preferred;
    let notRun = true;
    while (!signal.aborted && clock.monotonic() < endsAt) {
      const timeoutMs = Math.min(attemptTimeoutMs, endsAt - clock.monotonic());
      const attempt = await callNode(index, command, signal, timeoutMs);
      if (attempt.result) {
        preferred = index;
        return attempt.result;
      }
      notRun &&= attempt.notRun;
      if (!notRun && !isIdempotent(command)) break;
      index = findIndex(index, attempt.leader);
      await clock.wait(retryDelayMs * (0.5 + random()), signal);
    }
    throw new RelayError(ResultCode.noQuorum, 'no control node accepted the command', { notRun });
  };
}

function readRefusal(result: Extract<CommandResult, { ok: false }>): Attempt {
  if (result.code === ResultCode.notLeader) {
    return { notRun: true, ...parseLeader(result.details?.leader) };
  }
  if (result.code === ResultCode.noQuorum) return { notRun: result.details?.notRun === true };
  return { result, notRun: false };
}

function parseLeader(leader: unknown): { leader?: string } {
  return typeof leader === 'string' ? { leader } : {};
}
