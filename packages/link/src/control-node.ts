import type { ControlClient, DaemonId } from '@vanillarelay/core';

/** A control node and the client that calls it. */
export interface ControlNode {
  id: DaemonId;
  client: ControlClient;
}
