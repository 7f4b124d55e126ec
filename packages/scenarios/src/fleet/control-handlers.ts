import type { createHub, HubPeer, RaftPeer } from '@vanillarelay/control';
import type { ControlClient, DaemonState } from '@vanillarelay/core';

/** The calls that a control node of the in-process fleet answers. */
export interface ControlHandlers extends ControlClient, RaftPeer, HubPeer {
  readState(): Promise<DaemonState>;
  readRollout(): Promise<ReturnType<ReturnType<typeof createHub>['readRollout']>>;
}
