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

/** A daemon's latest report to the hubs. */
interface DaemonView {
  daemon: string;
  address: string;
  /** Version of the replicated state that the daemon uses. */
  version: number;
  role: 'entry' | 'agent';
  dataCentre: string;
  contact: Contact;
  /** Milliseconds since its last report. */
  silentMs: number;
}

/** An operator's access to the fleet. Calls reject with a `RelayError`. */
export interface OperatorClient {
  /** Sends a command to the current leader; resolves once a quorum has synced it to disk. */
  propose(command: Command): Promise<CommandResult>;
  readState(): Promise<DaemonState>;
  /** Accepted configurations, oldest first. */
  listHistory(): Promise<ConfigChange[]>;
  listDaemons(): Promise<DaemonView[]>;
  listEndpoints(): Promise<(Member & { running: number })[]>;
  /** The state version of each control node, or the error if it did not answer. */
  listControls(): Promise<{ address: string; version?: number; error?: string }[]>;
  /** The merged events of all processes; `missing` names the processes that did not answer. */
  readTimeline(requestId?: RequestId): Promise<{ events: TimelineEvent[]; missing: string[] }>;
  close(): void;
}
