import type { Clock, DaemonId } from '@vanillarelay/core';
import type { DaemonInfo } from '../messages/daemon-info.js';
import { buildObservations } from '../messages/build-observations.js';
import type { Observations } from '../messages/observations.js';
import { addObservationAge } from './add-observation-age.js';
import { mergeObservations } from './merge-observations.js';

interface DirectRow {
  info: DaemonInfo;
  observations: Observations;
  at: number;
}

interface RemoteRow {
  daemons: DaemonInfo[];
  observations: Observations;
  at: number;
}

/** Time after its last refresh at which a row expires. */
const rowTtlMs = 2_500;

/**
 * Creates a hub's table of live daemons: the direct ones, which sync with this hub, and the remote
 * ones, which other hubs report.
 */
export function createDaemonTable(clock: Pick<Clock, 'monotonic'>) {
  const direct = new Map<DaemonId, DirectRow>();
  const remote = new Map<string, RemoteRow>();
  /** Versions of the two lists that replies carry, each with the list that it stands for. */
  const versions = {
    direct: { key: '', version: 1 },
    all: { key: '', version: 1 },
  };

  const isFresh = ({ at }: { at: number }) => clock.monotonic() - at <= rowTtlMs;

  const listDirect = (): DirectRow[] => {
    direct.forEach((row, id) => {
      if (!isFresh(row)) direct.delete(id);
    });
    return [...direct.values()];
  };

  const listRemote = () => [...remote.values()].filter(isFresh);

  const readObservations = ({ observations, at }: DirectRow | RemoteRow): Observations =>
    addObservationAge(observations, Math.round(clock.monotonic() - at));

  const listAll = (): DaemonInfo[] => {
    const all = new Map<DaemonId, DaemonInfo>();
    listRemote().forEach(({ daemons }) => daemons.forEach((info) => all.set(info.id, info)));
    listDirect().forEach(({ info }) => all.set(info.id, info));
    return [...all.values()].sort((a, b) => (a.id < b.id ? -1 : 1));
  };

  return {
    receive: (info: DaemonInfo, received: Partial<Observations>): void => {
      const observations = buildObservations(received);
      direct.set(info.id, { info, observations, at: clock.monotonic() });
    },
    /** Stores what another hub reports of its direct daemons. */
    updateRemote: (
      hub: string,
      daemons: DaemonInfo[] | undefined,
      received: Partial<Observations>,
    ): void => {
      const last = remote.get(hub);
      remote.set(hub, {
        daemons: daemons ?? last?.daemons ?? [],
        observations: buildObservations(received),
        at: clock.monotonic(),
      });
    },
    listDirect: (): DaemonInfo[] => listDirect().map(({ info }) => info),
    listAll,
    /**
     * Returns a version that increases whenever a list has changed. A daemon that moves to another
     * hub changes the direct ones of both, but not the list of all.
     */
    readVersion: (list: keyof typeof versions): number => {
      const known = versions[list];
      const daemons = list === 'all' ? listAll() : listDirect().map(({ info }) => info);
      const key = daemons
        .map(({ id, incarnation, diskId }) => `${id} ${incarnation} ${diskId ?? ''}`)
        .join('\n');
      if (key !== known.key) {
        known.key = key;
        known.version += 1;
      }
      return known.version;
    },
    sumDirect: (): Observations => mergeObservations(listDirect().map(readObservations)),
    /** Sums the observations of all daemons except one. */
    sumWithout: (id: DaemonId): Observations => {
      const others = listDirect().filter(({ info }) => info.id !== id);
      return mergeObservations([...others, ...listRemote()].map(readObservations));
    },
  };
}
