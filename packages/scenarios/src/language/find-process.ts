import type { VirtualProcess } from '../fakes/virtual-process.js';
import type { World } from './world.js';

const endpointPrefix = 'endpoint-';

/** Finds a process by id; the prefix `endpoint-` before an agent's id selects its endpoint. */
export function findProcess({ context }: World, id: string): VirtualProcess {
  const { replicatedControls, entries, agents, endpoints } = context;
  const found = id.startsWith(endpointPrefix)
    ? endpoints.get(id.slice(endpointPrefix.length))
    : (replicatedControls.get(id) ?? entries.get(id) ?? agents.get(id));
  if (!found) throw new Error(`no process '${id}' in this scenario`);
  return found.process;
}
