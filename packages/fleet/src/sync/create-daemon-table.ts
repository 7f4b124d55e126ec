import type { Clock, DaemonId, EndpointId } from '@vanillarelay/core';
import type { DaemonInfo } from '../messages/daemon-info.js';

type Loads = Record<EndpointId, number>;

interface Row {
  info: DaemonInfo;
  loads: Loads;
  at: number;
}

/** A daemon that was not heard of for this long no longer counts. */
const daemonKeptMs = 2_500;

/** Makes a hub's table of the daemons that exchange with it, and of those that the other hubs have. */
export function createDaemonTable(clock: Pick<Clock, 'monotonic'>) {
  const direct = new Map<DaemonId, Row>();
  const remote = new Map<string, { daemons: DaemonInfo[]; loads: Loads; at: number }>();
  let known = '';
  let version = 1;

  const isFresh = ({ at }: { at: number }) => clock.monotonic() - at <= daemonKeptMs;

  const listDirect = (): Row[] => {
    direct.forEach((row, id) => {
      if (!isFresh(row)) direct.delete(id);
    });
    return [...direct.values()];
  };

  const listRemote = () => [...remote.values()].filter(isFresh);

  const listAll = (): DaemonInfo[] => {
    const all = new Map<DaemonId, DaemonInfo>();
    listRemote().forEach(({ daemons }) => daemons.forEach((info) => all.set(info.id, info)));
    listDirect().forEach(({ info }) => all.set(info.id, info));
    return [...all.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
  };

  const addLoads = (sum: Loads, loads: Loads): void => {
    Object.entries(loads).forEach(([id, count]) => {
      sum[id as EndpointId] = (sum[id as EndpointId] ?? 0) + count;
    });
  };

  return {
    receive: (info: DaemonInfo, loads: Loads): void => {
      direct.set(info.id, { info, loads, at: clock.monotonic() });
    },
    /** What another hub told of its own daemons. */
    updateRemote: (hub: string, daemons: DaemonInfo[] | undefined, loads: Loads): void => {
      const last = remote.get(hub);
      remote.set(hub, { daemons: daemons ?? last?.daemons ?? [], loads, at: clock.monotonic() });
    },
    listDirect: (): DaemonInfo[] => listDirect().map(({ info }) => info),
    listAll,
    /** Changes whenever the list of all daemons does. */
    readVersion: (): number => {
      const text = listAll()
        .map(({ id, incarnation, diskId }) => `${id} ${incarnation} ${diskId ?? ''}`)
        .join('\n');
      if (text !== known) {
        known = text;
        version += 1;
      }
      return version;
    },
    sumDirectLoads: (): Loads => {
      const sum: Loads = {};
      listDirect().forEach(({ loads }) => addLoads(sum, loads));
      return sum;
    },
    /** Loads of all daemons but one. */
    sumLoadsWithout: (id: DaemonId): Loads => {
      const sum: Loads = {};
      listDirect()
        .filter(({ info }) => info.id !== id)
        .forEach(({ loads }) => addLoads(sum, loads));
      listRemote().forEach(({ loads }) => addLoads(sum, loads));
      return sum;
    },
  };
}
