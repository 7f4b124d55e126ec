import type { DaemonId, HlcTime } from '@vanillarelay/core';

/** Reply to a gossip message. */
export interface GossipReply {
  /** Changes with each start of the receiver; after a change everything is sent again. */
  epoch: string;
  hears: DaemonId[];
  at: HlcTime;
}
