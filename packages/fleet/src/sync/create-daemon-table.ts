import type { Clock, DaemonId } from '@vanillarelay/core';
import type { DaemonInfo } from '../messages/daemon-info.js';
import type { Observations } from '../messages/observations.js';
import { mergeObservations } from './merge-observations.js';

interface Row {
  info: DaemonInfo;
  observations: Observations;
  at: number;
}

interface RemoteRow {
  daemons: DaemonInfo[];
  observations: Observations;
  at: number;
}

/** A daemon that was not heard of for this long no longer counts. */
const daemonKeptMs = 2_500;

/** Makes a hub's table of the daemons that exchange with it, and of those that the other hubs have. */
export function createDaemonTable(clock: Pick<Clock, 'monotonic'>) {
  const direct = new Map<DaemonId, Row>();
  const remote = new Map<string, RemoteRow>();
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

  return {
    receive: (info: DaemonInfo, observations: Observations): void => {
      direct.set(info.id, { info, observations, at: clock.monotonic() });
    },
    /** What another hub told of its own daemons. */
    updateRemote: (
      hub: string,
      daemons: DaemonInfo[] | undefined,
      observations: Observations,
    ): void => {
      const last = remote.get(hub);
      remote.set(hub, {
        daemons: daemons ?? last?.daemons ?? [],
        observations,
        at: clock.monotonic(),
      });
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
    sumDirect: (): Observations =>
      mergeObservations(listDirect().map(({ observations }) => observations)),
    /** What all daemons but one know. */
    sumWithout: (id: DaemonId): Observations =>
      mergeObservations(
        [...listDirect().filter(({ info }) => info.id !== id), ...listRemote()].map(
          ({ observations }) => observations,
        ),
      ),
  };
}
