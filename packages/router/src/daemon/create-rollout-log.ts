import type { ServiceId } from '@vanillarelay/core';
import type { AgedRollout } from '@vanillarelay/fleet';
import type { Rollout } from '@vanillarelay/routing';
import type { Log } from '../log/log.js';

/** Creates a function that logs which roll-outs have started or ended since its last call. */
export function createRolloutLog({ write }: Pick<Log, 'write'>) {
  const logged = new Map<ServiceId, Rollout>();

  return (rollouts: readonly AgedRollout[]): void => {
    rollouts.forEach(({ service, rollout, ageMs }) => {
      const { to, durationMs, state, startIndex } = rollout;
      const known = logged.get(service);
      logged.set(service, rollout);
      const isSame = known?.startIndex === startIndex;
      const details = { service, to, startIndex, ageMs: Math.round(ageMs) };
      if (state === 'inProgress') {
        if (!isSame) write('rollout.started', { ...details, durationMs });
        return;
      }
      // A daemon that starts reads roll-outs that ended long ago.
      if (known && !(isSame && known.state === state)) {
        write('rollout.ended', { ...details, outcome: state });
      }
    });
  };
}
