import type { Command } from '../messages/command.js';
import type { CommandResult } from '../messages/command-result.js';
import type { Frame } from '../messages/frame.js';
import type { QuorumReport } from '../messages/quorum-report.js';
import type { Report } from '../messages/report.js';

/**
 * The calls that daemons make to a control node. They reject with a `RelayError`, also when the
 * signal aborts.
 */
export interface ControlClient {
  /** Long poll: replies after a period, or at once if the state is newer than the report's. */
  exchange(report: Report, signal: AbortSignal): Promise<Frame>;
  /**
   * Replies at once with the time since the node last knew that a quorum was alive; rejects with
   * `notRun` only if the connection was refused.
   */
  readQuorum(stateVersion: number, signal: AbortSignal): Promise<QuorumReport>;
  /** Resolves once a quorum has synced the command; rejects with `notLeader` or `noQuorum`. */
  propose(command: Command, signal: AbortSignal): Promise<CommandResult>;
}
