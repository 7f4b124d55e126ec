import { toId, type ServiceId } from '@vanillarelay/core';
import { createFakeDisk } from '../fakes/create-fake-disk.js';
import type { VirtualProcess } from '../fakes/virtual-process.js';
import { startAgent } from '../fleet/start-agent.js';
import { startControlNode } from '../fleet/start-control-node.js';
import { startEntry } from '../fleet/start-entry.js';
import { wrapDiskWithoutSync } from '../fleet/wrap-disk-without-sync.js';
import { createScenarioEndpoint } from './create-scenario-endpoint.js';
import type { World } from './world.js';

/** Number of requests that each endpoint can run at once when warm. */
const slots = 32;

/** Starts a daemon of the scenario, or restarts it under the same id. */
export async function startProcess(world: World, id: string, withEndpoint = true): Promise<void> {
  const { context, processSpecs } = world;
  const spec = processSpecs.get(id);
  if (!spec) throw new Error(`no process '${id}' in this scenario`);
  const { role, dataCentre } = spec;
  if (role === 'entry') startEntry(context, id, dataCentre);
  else if (role === 'agent') {
    const service = toId<ServiceId>(spec.service ?? 'notices');
    const createEndpoint = (process: VirtualProcess) => createScenarioEndpoint(world, id, process);
    startAgent(context, {
      ...{ id, service, dataCentre, slots },
      ...(withEndpoint ? { createEndpoint } : {}),
    });
  } else {
    const fakeDisk = world.disks.get(id) ?? createFakeDisk({ random: context.random });
    world.disks.set(id, fakeDisk);
    const disk = context.without.has('sync') ? wrapDiskWithoutSync(fakeDisk.disk) : fakeDisk.disk;
    const group = [...processSpecs].filter(([, { role: other }]) => other === 'control');
    await startControlNode(context, { id, dataCentre, disk, group: group.map(([name]) => name) });
  }
}
