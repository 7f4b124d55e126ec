import type { RaftContext } from '../raft-context.js';

/** Makes the leader send to every member before the next heartbeat. @internal */
export function wakePeers({ progress }: RaftContext): void {
  progress.forEach((peer) => {
    peer.isSendRequested = true;
    peer.wake();
  });
}
