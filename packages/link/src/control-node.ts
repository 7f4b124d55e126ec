import type { ControlClient, DaemonId } from '@vanillarelay/core';

/** A control node as the link knows it. */
export interface ControlNode {
  id: DaemonId;
  client: ControlClient;
}
