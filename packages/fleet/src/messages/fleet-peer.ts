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

/** Another daemon, as this one calls it. */
export interface FleetPeer {
  hello(request: HelloRequest, signal: AbortSignal): Promise<HelloReply>;
  sync(request: SyncRequest, signal: AbortSignal): Promise<SyncReply>;
  /** Tells a hub of an endpoint; resolves once a majority of the hubs knows, unless it is relayed. */
  announce(
    message: { record: EndpointRecord; isRelayed: boolean },
    signal: AbortSignal,
  ): Promise<void>;
  /** Offers a command to the leader. */
  propose(command: SharedCommand, signal: AbortSignal): Promise<CommandResult>;
  /** Confirms the newest state by a quorum; only the leader answers. */
  readState(request: StateRequest, signal: AbortSignal): Promise<StateReply>;
  raft: RaftPeer;
}
