import type { Command } from '../messages/command.js';
import type { CommandResult } from '../messages/command-result.js';
import type { Frame } from '../messages/frame.js';
import type { QuorumReport } from '../messages/quorum-report.js';
import type { Report } from '../messages/report.js';

/** One control node as daemons see it. Calls reject with a `RelayError`, also when the signal aborts. */
export interface ControlClient {
  /** Long poll: answers after a period, or at once when the state is newer than the report's. */
  exchange(report: Report, signal: AbortSignal): Promise<Frame>;
  /** Answers at once with the node's knowledge of a quorum; rejects with `notRun: true` when refused. */
  readQuorum(stateVersion: number, signal: AbortSignal): Promise<QuorumReport>;
  /** Resolves once a quorum has synced the command; `notLeader` and `noQuorum` reject. */
  propose(command: Command, signal: AbortSignal): Promise<CommandResult>;
}
