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
  /** Nodes of the first start; later the membership in the log counts. */
  firstGroup: { id: string; address: string }[];
  openPeer: (address: string) => RaftPeer;
  machine: StateMachine;
  /** Called once when the node has stopped for good. */
  reportFailure: (error: Error) => void;
  /** Bytes of log after which a snapshot is taken, if the last snapshot is not larger. */
  snapshotBytes?: number;
}
