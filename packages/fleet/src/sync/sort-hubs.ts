import type { DaemonInfo } from '../messages/daemon-info.js';

/**
 * Sorts hubs in the order in which a daemon tries them: those in its subnet first. Both groups are
 * rotated by the daemon's id, so that daemons spread over the hubs.
 */
export function sortHubs(hubs: readonly string[], self: DaemonInfo): string[] {
  const subnet = readSubnet(self.address);
  const computeRank = (hub: string): number => (readSubnet(hub) === subnet ? 0 : 1);
  const offset = [...self.id].reduce((sum, char) => sum + char.charCodeAt(0), 0);
  const rotated = hubs.map((_, index) => hubs[(index + offset) % hubs.length] ?? '');
  return rotated.sort((a, b) => computeRank(a) - computeRank(b));
}

function readSubnet(address: string): string {
  return address.split('.').slice(0, 2).join('.');
}
