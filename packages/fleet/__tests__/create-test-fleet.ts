import {
  toId,
  type DaemonId,
  type DataCentreId,
  type Disk,
  type EndpointId,
  type EventDetails,
} from '@vanillarelay/core';
import {
  createFleetNode,
  type FleetNode,
  type FleetPeer,
  type SharedCommand,
} from '@vanillarelay/fleet';
import {
  createEndpointTable,
  type EndpointRecord,
  type EndpointTable,
} from '@vanillarelay/routing';
import {
  createFakeDisk,
  createFakeNetwork,
  createSeededRandom,
  createVirtualClock,
  wrapProcessDisk,
  type VirtualProcess,
} from '@vanillarelay/scenarios';

interface TestDaemon {
  id: string;
  address: string;
  process: VirtualProcess;
  disk: ReturnType<typeof createFakeDisk> | undefined;
  node: FleetNode;
  table: EndpointTable;
  /** Versions of the configuration in the order in which they came into force. */
  versions: number[];
  events: { name: string; details: EventDetails | undefined }[];
}

interface TestFleetOptions {
  seed: number;
  /** Number of daemons with a disk. */
  disks?: number;
  /** Number of daemons without a disk. */
  others?: number;
  /** Number of daemons with a disk that `startAll` leaves out, after the others in order. */
  spares?: number;
  /** Size of the log above which a snapshot is taken, in bytes. */
  snapshotBytes?: number;
  /** How far the wall clock of each start of a daemon is ahead, in milliseconds. */
  readClockOffset?: () => number;
  /** Called with each disk that a daemon opens. */
  wrapDisk?: (disk: Disk, process: VirtualProcess) => Disk;
}

const dataCentres = 3;
const silenceMs = 4_800;
/** Least and longest time from a signal to the end of a process. */
const drainMs = 3_000;
const graceMs = 7_600;
/** Attempts to send one change; each takes up to 1 s of virtual time. */
const maxAttempts = 20;

/** Creates daemons on virtual time, which initially know only the addresses of three seeds. */
export function createTestFleet({
  seed,
  disks = 3,
  others = 4,
  spares = 0,
  snapshotBytes,
  readClockOffset = () => 0,
  wrapDisk = (disk) => disk,
}: TestFleetOptions) {
  const random = createSeededRandom(seed);
  const virtual = createVirtualClock();
  const network = createFakeNetwork({ virtual, random });
  const daemons = new Map<string, TestDaemon>();
  let counter = 0;
  const createId = () => {
    counter += 1;
    return `id-${counter}`;
  };
  const buildAddress = (index: number) => `10.${(index % dataCentres) + 1}.0.${index + 1}:7000`;
  const addresses = Array.from({ length: disks + others }, (_, index) => buildAddress(index));
  const hasDisk = (index: number) => index < disks || index >= addresses.length;
  let seeds = addresses.slice(0, 3);

  const findByAddress = (address: string): TestDaemon | undefined =>
    [...daemons.values()].find((daemon) => daemon.address === address);

  const openPeer =
    (from: VirtualProcess) =>
    (address: string): FleetPeer => {
      const open = <T extends object>(select: (peer: FleetPeer) => T): T =>
        network.open<T>(from, () => {
          const target = findByAddress(address);
          return target && { process: target.process, handlers: select(target.node.handlers) };
        });
      const calls = wrapJson(open((peer) => peer));
      const raft = wrapJson(open((peer) => peer.raft));
      return new Proxy(calls, {
        get: (peer, name) => (name === 'raft' ? raft : peer[name as keyof FleetPeer]),
      });
    };

  const start = (index: number, { isFirstStart = false, address = buildAddress(index) } = {}) => {
    const id = `daemon-${index}`;
    const process = virtual.createProcess(id, readClockOffset());
    const previous = daemons.get(id);
    const newDisk = hasDisk(index) && !previous ? createFakeDisk({ random }) : undefined;
    const disk = previous?.disk ?? newDisk;
    const table = createEndpointTable({ clock: process.clock, silenceMs });
    const versions: number[] = [];
    const events: TestDaemon['events'] = [];
    const node = createFleetNode({
      self: {
        id: toId<DaemonId>(id),
        incarnation: createId(),
        address,
        dataCentre: toId<DataCentreId>(`dc-${index % dataCentres}`),
      },
      clock: process.clock,
      ...{ random, table, isFirstStart },
      timeline: { record: (name, details) => events.push({ name, details }) },
      ...(disk
        ? {
            openDisk: async () =>
              wrapDisk(wrapProcessDisk({ process, disk: disk.disk, syncMs: 1 }), process),
          }
        : {}),
      createDiskId: createId,
      ...(snapshotBytes === undefined ? {} : { snapshotBytes }),
      openPeer: openPeer(process),
      waitForInput: () => process.clock.wait(0),
      listSeeds: () => seeds,
      readObservations: () => ({
        loads: {},
        outcomes: {},
        crashes: {},
        rates: {},
        notices: {},
        work: {},
      }),
      notifyObservations: () => {},
      notifyState: ({ version }) => versions.push(version),
    });
    daemons.set(id, { id, address, process, disk, node, table, versions, events });
    node.start();
    return id;
  };

  const find = (id: string): TestDaemon => {
    const daemon = daemons.get(id);
    if (!daemon) throw new Error(`no daemon ${id}`);
    return daemon;
  };

  const kill = (id: string): void => {
    const { process, node, disk } = find(id);
    process.kill();
    node.stop();
    disk?.crash();
  };

  /** Stops a daemon as planned; it ends once it has drained and left the control group. */
  const stop = async (id: string): Promise<void> => {
    const { node } = find(id);
    const startedAt = virtual.clock.monotonic();
    const countMs = () => virtual.clock.monotonic() - startedAt;
    node.startLeaving();
    while (countMs() < drainMs || (node.isAwaitingLeave() && countMs() < graceMs)) {
      await virtual.run(50);
    }
    kill(id);
  };

  const buildRecord = (change: Partial<EndpointRecord> = {}): EndpointRecord => ({
    ...{ id: toId<EndpointId>('e1'), bornAt: 1, sequence: 1, service: 'desk' as never },
    ...{ address: '10.1.9.9:80', dataCentre: 'dc-0' as never, slots: 4 },
    ...{ state: 'ready' as const, coldLeftMs: 0, ...change },
  });

  /** Sends a change through one daemon and retries until it is accepted. */
  const propose = async (id: string, command: SharedCommand): Promise<void> => {
    for (let attempts = 0; attempts < maxAttempts; attempts += 1) {
      try {
        await virtual.runUntil(find(id).node.propose(command));
        return;
      } catch {
        await virtual.run(200);
      }
    }
    throw new Error(`${id} accepted no ${command.type} (seed ${seed})`);
  };

  return {
    ...{ virtual, network, find, kill, stop, start, buildRecord, seed },
    all: addresses.map((_, index) => `daemon-${index}`),
    spares: Array.from({ length: spares }, (_, rank) => `daemon-${addresses.length + rank}`),
    startAll: () => addresses.map((_, index) => start(index, { isFirstStart: true })),
    /** Starts a daemon again, or a spare for the first time. */
    restart: (id: string) => start(Number(id.split('-')[1])),
    /** Exchanges the seeds that all daemons know from now on. */
    setSeeds: (ids: readonly string[]): void => {
      seeds = ids.map((id) => find(id).address);
    },
    wipe: (id: string) => find(id).disk?.wipe(),
    /** Kills a daemon, which starts again with an empty disk. */
    loseDisk: async (id: string, downMs: number): Promise<void> => {
      kill(id);
      find(id).disk?.wipe();
      await virtual.run(downMs);
      start(Number(id.split('-')[1]));
    },
    setFull: (id: string, isFull: boolean) => find(id).disk?.setFull(isFull),
    cut: (a: string, b: string) => network.cut(a, b),
    heal: (a: string, b: string) => network.clearCut(a, b),
    propose,
    /** Sends a configuration through one daemon and retries until it is accepted. */
    put: (id: string, version: number, source = `config ${version}`): Promise<void> =>
      propose(id, { type: 'putConfig', version, source }),
    /** Reads the confirmed configuration version through a daemon; undefined if that fails. */
    read: async (id: string): Promise<number | undefined> => {
      try {
        return (await virtual.runUntil(find(id).node.readConfirmedState())).version;
      } catch {
        return undefined;
      }
    },
    readVersion: (id: string) => find(id).node.view.state.version,
  };
}

/** Copies arguments and replies through JSON, as real daemons send them. */
function wrapJson<T extends object>(peer: T): T {
  return new Proxy({} as T, {
    get: (_, name) => {
      if (name === 'then') return undefined;
      return async (...args: unknown[]) => {
        const method = (peer as Record<PropertyKey, (...a: unknown[]) => Promise<unknown>>)[name];
        const copied = args.map((arg) =>
          arg instanceof AbortSignal ? arg : (JSON.parse(JSON.stringify(arg)) as unknown),
        );
        const reply = await method?.(...copied);
        return reply === undefined ? undefined : (JSON.parse(JSON.stringify(reply)) as unknown);
      };
    },
  });
}
