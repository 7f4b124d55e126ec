import type { Clock, Random } from '@vanillarelay/core';
import type { DaemonInfo } from '../messages/daemon-info.js';
import { createGrowingTime } from './create-growing-time.js';
import type { FleetView } from './fleet-view.js';
import { sortHubs } from './sort-hubs.js';

interface HubChoiceOptions {
  clock: Pick<Clock, 'monotonic'>;
  random: Random;
  readSelf: () => DaemonInfo;
  /** Whether this daemon is a hub that has recent contact with a quorum. */
  isOwnHub: () => boolean;
}

/** How long other hubs are preferred after one failed or lost contact with the quorum. */
const backoffMs = 1_500;
/** The same for a failed hub while this daemon has no state: the hub may only be starting. */
const minStartBackoffMs = 50;
/**
 * Shortest time after which a daemon returns to the hub that it prefers; the longest is twice that,
 * so that not all return at once.
 */
const minReturnMs = 2_000;

/**
 * Creates a daemon's choice of the hub with which it syncs. It keeps the hub in use until that fails
 * and returns to the one that it prefers later, so that the daemons spread over the hubs again after
 * a failure took them all to one.
 */
export function createHubChoice({ clock, random, readSelf, isOwnHub }: HubChoiceOptions) {
  let hub: string | undefined;
  /** When this daemon returns to the hub that it prefers; undefined while it uses that one. */
  let returnAt: number | undefined;
  /** Times for which failed hubs are not tried again at the start. */
  const startTimes = new Map<string, ReturnType<typeof createGrowingTime>>();
  /** Hubs that failed or lost contact with the quorum, and until when other hubs are preferred. */
  const backoffs = new Map<string, { until: number; isReachable: boolean }>();

  const listCandidates = ({ hubs, daemons }: Pick<FleetView, 'hubs' | 'daemons'>): string[] => {
    const self = readSelf();
    const own = isOwnHub() ? [self.address] : [];
    const others = sortHubs(hubs, self).filter((candidate) => candidate !== self.address);
    const current = hub === undefined || hub === self.address ? [] : [hub];
    const isDue = returnAt !== undefined && clock.monotonic() >= returnAt;
    const isAlive = daemons.some(({ address }) => address === others[0]);
    const returning = isDue && isAlive ? others.slice(0, 1) : [];
    return [...own, ...returning, ...current, ...others];
  };

  const updateReturn = (chosen: string, hubs: readonly string[]): void => {
    const self = readSelf();
    const isPreferred = chosen === self.address || chosen === sortHubs(hubs, self)[0];
    if (isPreferred) returnAt = undefined;
    else if (returnAt === undefined || clock.monotonic() >= returnAt)
      returnAt = clock.monotonic() + minReturnMs * (1 + random());
  };

  const takeStartTime = (address: string): number => {
    const time =
      startTimes.get(address) ??
      createGrowingTime({ minMs: minStartBackoffMs, maxMs: backoffMs, random });
    startTimes.set(address, time);
    return time.take();
  };

  return {
    /** Returns the hub that was chosen last. */
    readCurrent: (): string | undefined => hub,
    /** Chooses a hub that is not in backoff, this daemon's own first; otherwise a reachable one. */
    choose: (view: Pick<FleetView, 'hubs' | 'daemons'>): string | undefined => {
      const candidates = listCandidates(view);
      const isBackedOff = (candidate: string) =>
        (backoffs.get(candidate)?.until ?? 0) > clock.monotonic();
      const chosen =
        candidates.find((candidate) => !isBackedOff(candidate)) ??
        candidates.find((candidate) => backoffs.get(candidate)?.isReachable);
      if (chosen === undefined) return undefined;
      updateReturn(chosen, view.hubs);
      hub = chosen;
      return chosen;
    },
    /** Prefers other hubs for a while. */
    startBackoff: (
      address: string,
      { isReachable, isStarting }: { isReachable: boolean; isStarting: boolean },
    ): void => {
      const ms = isStarting && !isReachable ? takeStartTime(address) : backoffMs;
      backoffs.set(address, { until: clock.monotonic() + ms, isReachable });
    },
    endBackoff: (address: string): void => {
      backoffs.delete(address);
      startTimes.delete(address);
    },
  };
}
