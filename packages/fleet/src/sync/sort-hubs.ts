import type { DaemonInfo } from '../messages/daemon-info.js';

/** Hubs in the order in which a daemon tries them: those of its own subnet first, then by chance of its id. */
export function sortHubs(hubs: readonly string[], self: DaemonInfo): string[] {
  const subnet = readSubnet(self.address);
  const computeRank = (hub: string): number => (readSubnet(hub) === subnet ? 0 : 1);
  const start = [...self.id].reduce((sum, char) => sum + char.charCodeAt(0), 0);
  const turned = hubs.map((_, index) => hubs[(index + start) % hubs.length] ?? '');
  return turned.sort((a, b) => computeRank(a) - computeRank(b));
}

function readSubnet(address: string): string {
  return address.split('.').slice(0, 2).join('.');
}
