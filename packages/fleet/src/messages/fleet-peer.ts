import type { RaftPeer } from '@vanillarelay/control';
import type { CommandResult } from '@vanillarelay/core';
import type { EndpointRecord } from '@vanillarelay/routing';
import type { SharedCommand } from '../state/shared-command.js';
import type { HelloReply } from './hello-reply.js';
import type { HelloRequest } from './hello-request.js';
import type { StateReply } from './state-reply.js';
import type { StateRequest } from './state-request.js';
import type { SyncReply } from './sync-reply.js';
import type { SyncRequest } from './sync-request.js';

/** Calls to another daemon. */
export interface FleetPeer {
  hello(request: HelloRequest, signal: AbortSignal): Promise<HelloReply>;
  sync(request: SyncRequest, signal: AbortSignal): Promise<SyncReply>;
  /**
   * Announces an endpoint to a hub. When the endpoint is not ready and the message comes from a
   * daemon, resolves only once a majority of the hubs has the record.
   */
  announce(
    message: { record: EndpointRecord; isRelayed: boolean },
    signal: AbortSignal,
  ): Promise<void>;
  /** Proposes a command; only the leader accepts it. */
  propose(command: SharedCommand, signal: AbortSignal): Promise<CommandResult>;
  /** Reads the newest state, confirmed by a quorum; only the leader answers. */
  readState(request: StateRequest, signal: AbortSignal): Promise<StateReply>;
  raft: RaftPeer;
}
