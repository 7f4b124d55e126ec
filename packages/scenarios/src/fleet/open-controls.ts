import { toId, type ControlClient, type DaemonId } from '@vanillarelay/core';
import type { VirtualProcess } from '../fakes/virtual-process.js';
import type { FleetContext } from './fleet-context.js';

/** Opens clients of all control nodes for a process. */
export function openControls(
  { network, controls }: FleetContext,
  process: VirtualProcess,
): { id: DaemonId; client: ControlClient }[] {
  return [...controls.keys()].map((id) => ({
    id: toId<DaemonId>(id),
    client: network.open(process, () => controls.get(id)),
  }));
}
