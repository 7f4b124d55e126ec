import { toId, type ServiceId } from '@vanillarelay/core';
import { createFakeDisk } from '../fakes/create-fake-disk.js';
import type { VirtualProcess } from '../fakes/virtual-process.js';
import { startAgent } from '../fleet/start-agent.js';
import { startControlNode } from '../fleet/start-control-node.js';
import { startEntry } from '../fleet/start-entry.js';
import { wrapSync } from '../fleet/wrap-sync.js';
import { createScenarioEndpoint } from './create-scenario-endpoint.js';
import type { World } from './world.js';

const slots = 32;

/** Starts a process of the scenario, or starts it anew under its old name. */
export async function startNode(world: World, id: string, withEndpoint = true): Promise<void> {
  const { context, places } = world;
  const place = places.get(id);
  if (!place) throw new Error(`no process '${id}' in this scenario`);
  const { role, dataCentre } = place;
  if (role === 'entry') startEntry(context, id, dataCentre);
  else if (role === 'agent') {
    const service = toId<ServiceId>(place.service ?? 'notices');
    const createEndpoint = (process: VirtualProcess) => createScenarioEndpoint(world, id, process);
    startAgent(context, {
      ...{ id, service, dataCentre, slots },
      ...(withEndpoint ? { createEndpoint } : {}),
    });
  } else {
    const fake = world.disks.get(id) ?? createFakeDisk({ random: context.random });
    world.disks.set(id, fake);
    const disk = context.without.has('sync') ? wrapSync(fake.disk) : fake.disk;
    const group = [...places].filter(([, { role: other }]) => other === 'control');
    await startControlNode(context, { id, dataCentre, disk, group: group.map(([name]) => name) });
  }
}
