import type { World } from '../language/world.js';

const intervalMs = 100;

/** Watches that no daemon goes back to an older state, across its restarts too. */
export function startVersionWatch({ context, faults }: World): void {
  const highest = new Map<string, number>();
  const check = () => {
    context.links.forEach((link, id) => {
      const version = link.readView().state?.version;
      if (version === undefined) return;
      const known = highest.get(id) ?? 0;
      if (version < known) faults.push(`${id} went back from version ${known} to ${version}`);
      highest.set(id, Math.max(known, version));
    });
    context.virtual.clock.startTimer(intervalMs, check);
  };
  check();
}
