import type { DaemonInfo } from '../messages/daemon-info.js';
import type { Founder } from '../messages/founder.js';

const maxFounders = 7;

/** Selects the founders, spread over the data centres; independent of the order of candidates. */
export function selectFounders(candidates: readonly DaemonInfo[]): Founder[] {
  const byDataCentre = new Map<string, DaemonInfo[]>();
  [...candidates]
    .sort((a, b) => (a.id < b.id ? -1 : 1))
    .forEach((info) => {
      byDataCentre.set(info.dataCentre, [...(byDataCentre.get(info.dataCentre) ?? []), info]);
    });
  const groups = [...byDataCentre.keys()].sort().map((key) => byDataCentre.get(key) ?? []);
  const longest = Math.max(0, ...groups.map(({ length }) => length));
  const order = Array.from({ length: longest }, (_, rank) => groups.map((group) => group[rank]));
  return order
    .flat()
    .filter((info): info is DaemonInfo => info !== undefined)
    .slice(0, maxFounders)
    .map(({ id, address }) => ({ id, address }));
}
