import type { RaftContext } from './raft-context.js';

/** Starts a round to every member before the next heartbeat. @internal */
export function wakePeers({ progress }: RaftContext): void {
  progress.forEach((peer) => {
    peer.isRoundWanted = true;
    peer.wake();
  });
}
