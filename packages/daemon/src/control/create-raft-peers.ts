import type { RaftPeer } from '@vanillarelay/control';
import type { PeerCredentials } from '../trust/peer-credentials.js';
import { openRaftPeer } from './open-raft-peer.js';

/** Creates a pool of Raft connections to control nodes: one per address, opened on first use. */
export function createRaftPeers(credentials: PeerCredentials) {
  const peers = new Map<string, ReturnType<typeof openRaftPeer>>();
  return {
    openPeer: (address: string): RaftPeer => {
      const peer = peers.get(address) ?? openRaftPeer(address, credentials);
      peers.set(address, peer);
      return peer;
    },
    close: (): void => peers.forEach((peer) => peer.close()),
  };
}
