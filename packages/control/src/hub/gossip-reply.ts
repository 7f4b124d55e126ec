import type { DaemonId, HlcTime } from '@vanillarelay/core';

/** Reply to a gossip message. */
export interface GossipReply {
  /** Changes with each start of the receiver; after a change everything is sent again. */
  epoch: string;
  /** Hubs that the receiver hears from. */
  hears: DaemonId[];
  at: HlcTime;
}
