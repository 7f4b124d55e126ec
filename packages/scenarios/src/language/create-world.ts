import { createFleetContext } from '../fleet/create-fleet-context.js';
import type { Mechanism } from '../fleet/mechanism.js';
import { startVersionWatch } from '../checks/start-version-watch.js';
import type { World } from './world.js';

interface WorldOptions {
  seed: number;
  without: ReadonlySet<Mechanism>;
}

/** Creates an empty world and starts the version check that runs throughout. */
export async function createWorld(options: WorldOptions): Promise<World> {
  const context = await createFleetContext(options);
  const world: World = {
    context,
    processSpecs: new Map(),
    disks: new Map(),
    engines: new Map(),
    calls: [],
    runs: [],
    faults: [],
    pending: new Set(),
    accepted: { version: 0, at: 0 },
    closedAt: new Map(),
    changes: 0,
    configVersion: 0,
  };
  startVersionWatch(world);
  return world;
}
