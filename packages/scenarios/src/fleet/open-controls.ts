import { toId, type ControlClient, type DaemonId } from '@vanillarelay/core';
import type { VirtualProcess } from '../fakes/virtual-process.js';
import type { FleetContext } from './fleet-context.js';

/** Clients of all control nodes at a process. */
export function openControls(
  { network, controls }: FleetContext,
  process: VirtualProcess,
): { id: DaemonId; client: ControlClient }[] {
  return [...controls.keys()].map((id) => ({
    id: toId<DaemonId>(id),
    client: network.open(process, () => controls.get(id)),
  }));
}
