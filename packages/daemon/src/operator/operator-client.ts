import type {
  Command,
  CommandResult,
  ConfigChange,
  Contact,
  DaemonState,
  Member,
  RequestId,
  TimelineEvent,
} from '@vanillarelay/core';

/** A daemon as the hubs know it. */
interface DaemonView {
  daemon: string;
  address: string;
  /** Version of the state in force at the daemon. */
  version: number;
  role: 'entry' | 'agent';
  dataCentre: string;
  contact: Contact;
  /** Milliseconds since its last report. */
  silentMs: number;
}

/** The fleet as operators see it. Calls reject with a `RelayError`. */
export interface OperatorClient {
  /** Follows the leader; resolves once a quorum has synced the command. */
  propose(command: Command): Promise<CommandResult>;
  readState(): Promise<DaemonState>;
  /** Accepted configurations, oldest first. */
  listHistory(): Promise<ConfigChange[]>;
  listDaemons(): Promise<DaemonView[]>;
  listEndpoints(): Promise<(Member & { running: number })[]>;
  /** Each control node with the state version it has, or why it did not answer. */
  listControls(): Promise<{ address: string; version?: number; error?: string }[]>;
  /** Events of all processes, merged; `missing` names those that did not answer. */
  readTimeline(requestId?: RequestId): Promise<{ events: TimelineEvent[]; missing: string[] }>;
  close(): void;
}
