import type { Command } from '../messages/command.js';
import type { CommandResult } from '../messages/command-result.js';
import type { Frame } from '../messages/frame.js';
import type { Report } from '../messages/report.js';

/** One control node as daemons see it. Calls reject with a `RelayError`. */
export interface ControlClient {
  /** Long poll: answers after a period, or at once when the state is newer than the report's. */
  exchange(report: Report, signal: AbortSignal): Promise<Frame>;
  /** Resolves once a quorum has synced the command; `notLeader` and `noQuorum` reject. */
  propose(command: Command, signal: AbortSignal): Promise<CommandResult>;
}
