import { withTimeout, type Clock, type EventDetails } from '@vanillarelay/core';
import type { FleetPeer } from '../messages/fleet-peer.js';
import type { Voter } from './voter.js';

interface GroupLeaveOptions {
  clock: Clock;
  voter: Voter;
  openPeer: (address: string) => FleetPeer;
  record: (name: string, details?: EventDetails) => void;
  signal: AbortSignal;
}

const retryDelayMs = 200;
/** Time for the leader to commit the removal; longer than an election timeout. */
const requestTimeoutMs = 1_500;

/**
 * Asks the leader to remove this daemon's voter until that has happened or the daemon ends: a voter
 * that leaves while it can does not count as lost afterwards. Its successor may still be catching
 * up, and the leader may change meanwhile. The voter is stopped once it is no member any more.
 */
export async function runGroupLeave(options: GroupLeaveOptions): Promise<void> {
  const { clock, voter, openPeer, record, signal } = options;
  let lastReason = '';

  const requestRemoval = async (diskId: string): Promise<boolean> => {
    const leader = voter.findLeader();
    if (leader === undefined) return false;
    try {
      await withTimeout(clock, requestTimeoutMs, (ended) =>
        openPeer(leader).requestRemoval({ diskId }, ended),
      );
      return true;
    } catch (error) {
      const { message: reason } = error as Error;
      if (reason !== lastReason) record('control.stayed', { reason });
      lastReason = reason;
      return false;
    }
  };

  while (!signal.aborted) {
    const diskId = voter.readDiskId();
    if (diskId === undefined || !voter.isMember()) return;
    if (await requestRemoval(diskId)) {
      voter.stop();
      record('control.left', { diskId });
      return;
    }
    await clock.wait(retryDelayMs, signal);
  }
}
