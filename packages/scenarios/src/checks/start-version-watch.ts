import type { World } from '../language/world.js';

const intervalMs = 100;

/** Checks periodically that no daemon returns to an older state version, even after a restart. */
export function startVersionWatch({ context, faults }: World): void {
  const highestVersions = new Map<string, number>();
  const check = () => {
    context.links.forEach((link, id) => {
      const version = link.readView().state?.version;
      if (version === undefined) return;
      const known = highestVersions.get(id) ?? 0;
      if (version < known) faults.push(`${id} returned from version ${known} to ${version}`);
      highestVersions.set(id, Math.max(known, version));
    });
    context.virtual.clock.startTimer(intervalMs, check);
  };
  check();
}
