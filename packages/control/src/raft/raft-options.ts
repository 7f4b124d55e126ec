import type { Clock, Random, Timeline } from '@vanillarelay/core';
import type { LogStore } from '../log/log-store.js';
import type { RaftPeer } from './raft-peer.js';
import type { StateMachine } from './state-machine.js';

/** Options of a Raft node. */
export interface RaftOptions {
  id: string;
  address: string;
  clock: Clock;
  random: Random;
  timeline: Pick<Timeline, 'record'>;
  log: LogStore;
  /** Nodes of a new group; used only until the log holds a membership. */
  initialMembers: { id: string; address: string }[];
  openPeer: (address: string) => RaftPeer;
  machine: StateMachine;
  /** Called once when the node has stopped permanently. */
  reportFailure: (error: Error) => void;
  /** Log size in bytes above which a snapshot is taken, or the last snapshot's size if larger. */
  snapshotBytes?: number;
}
