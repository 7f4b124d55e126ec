import { createHub, createMemoryStore, type HubPeer, type StateStore } from '@vanillarelay/control';
import {
  createHlc,
  createTimeline,
  toId,
  type AgentClient,
  type Clock,
  type ControlClient,
  type DaemonId,
  type DataCentreId,
  type EndpointId,
  type Report,
  type ServiceId,
  type VmId,
} from '@vanillarelay/core';
import { createLink } from '@vanillarelay/link';
import {
  createFakeNetwork,
  createSeededRandom,
  createVirtualClock,
  type VirtualProcess,
} from '@vanillarelay/scenarios';

/** Data centres; agents are distributed over them by number. */
const dataCentres = ['lahore', 'faisalabad', 'multan'].map((id) => toId<DataCentreId>(id));
const service = toId<ServiceId>('reports');

/** Interval of the leader's heartbeats to a follower; the leader's evidence is at most this old. */
const heartbeatMs = 250;

/** Creates a log that all nodes share; `setQuorum` controls which nodes have contact with it. */
function createSharedStores() {
  const log = createMemoryStore();
  const createNodeStore = (clock: Clock, hasQuorum: () => boolean): StateStore => {
    let state = structuredClone(log.readState());
    let aliveAt = clock.monotonic();
    const listeners = new Set<Parameters<StateStore['observe']>[0]>();
    const update = () => {
      if (!hasQuorum()) return;
      aliveAt = clock.monotonic();
      if (state.daemon.version === log.readState().daemon.version) return;
      state = structuredClone(log.readState());
      listeners.forEach((listener) => listener(state));
    };
    const run = async () => {
      while (true) {
        update();
        await clock.wait(heartbeatMs);
      }
    };
    void run();
    return {
      propose: log.propose,
      readState: () => state,
      readStateAgeMs: () => clock.monotonic() - aliveAt + heartbeatMs,
      observe: (listener) => {
        listeners.add(listener);
        return () => listeners.delete(listener);
      },
    };
  };
  return { log, createNodeStore };
}

/** Creates three control nodes, agents in three data centres and an entry on one virtual clock. */
export function createTestFleet({ seed, agents = 6 }: { seed: number; agents?: number }) {
  const virtual = createVirtualClock();
  const random = createSeededRandom(seed);
  const network = createFakeNetwork({ virtual, random });
  const { log, createNodeStore } = createSharedStores();
  const processes = new Map<string, VirtualProcess>();
  const withoutQuorum = new Set<string>();
  const links = new Map<string, ReturnType<typeof createLink>>();
  const hubs = new Map<string, ReturnType<typeof createHub>>();
  const controlIds = ['control-0', 'control-1', 'control-2'];

  const createBase = (id: string) => {
    const process = virtual.createProcess(id);
    processes.set(id, process);
    const hlc = createHlc(process.clock);
    const origin = { vm: toId<VmId>(id), dataCentre: dataCentres[0] as DataCentreId };
    const timeline = createTimeline({ hlc, process: toId<DaemonId>(id), ...origin });
    return {
      process,
      clock: process.clock,
      random: createSeededRandom(seed + id.length),
      hlc,
      timeline,
    };
  };

  const findProcess = (id: string) => processes.get(id) as VirtualProcess;
  const findTarget = <T extends object>(id: string, handlers: T) => {
    const process = processes.get(id);
    return process && { process, handlers };
  };
  const findHub = (id: string) => hubs.get(id) as ReturnType<typeof createHub>;
  const openPeer = (from: string, to: string): HubPeer =>
    network.open<HubPeer>(findProcess(from), () =>
      findTarget(to, { gossip: async (message) => findHub(to).gossip(structuredClone(message)) }),
    );
  const openControl = (from: string, to: string): ControlClient =>
    network.open<ControlClient>(findProcess(from), () =>
      findTarget(to, {
        exchange: async (report, signal) =>
          structuredClone(await findHub(to).exchange(structuredClone(report), signal)),
        readQuorum: async (version) => structuredClone(findHub(to).readQuorum(version)),
        propose: async (command) => log.propose(command),
      }),
    );

  const startControl = (id: string): void => {
    const base = createBase(id);
    const store = createNodeStore(base.clock, () => !withoutQuorum.has(id));
    const peers = controlIds
      .filter((other) => other !== id)
      .map((other) => ({
        id: toId<DaemonId>(other),
        peer: openPeer(id, other),
      }));
    const hub = createHub({ ...base, id: toId<DaemonId>(id), store, peers });
    hubs.set(id, hub);
    hub.start();
  };

  const startDaemon = (id: string, role: Report['role'], dataCentre: DataCentreId): void => {
    const base = createBase(id);
    const incarnation = base.clock.now();
    let sequence = 0;
    const link = createLink({
      ...base,
      controls: controlIds.map((control) => ({
        id: toId<DaemonId>(control),
        client: {
          exchange: (report, signal) => openControl(id, control).exchange(report, signal),
          readQuorum: (version, signal) => openControl(id, control).readQuorum(version, signal),
          propose: (command, signal) => openControl(id, control).propose(command, signal),
        },
      })),
      buildReport: () => {
        sequence += 1;
        const vm = toId<VmId>(id);
        const common = { vm, dataCentre, address: id, incarnation };
        return {
          ...common,
          daemon: toId<DaemonId>(id),
          role,
          ...(role === 'agent'
            ? {
                services: [service],
                announcement: {
                  ...common,
                  ...{ id: toId<EndpointId>(id), service, status: 'ready', slots: 8 },
                  ...{ sequence, running: 1 },
                },
              }
            : {}),
        };
      },
      openPeer: (to) =>
        network.open<Pick<AgentClient, 'readContact'>>(findProcess(id), () =>
          findTarget(to, {
            readContact: async (version) => ({
              ...structuredClone(findLink(to).buildContactReport(version)),
              dataCentre: findDataCentre(to),
            }),
          }),
        ),
    });
    links.set(id, link);
    link.start();
  };

  const findDataCentre = (id: string): DataCentreId =>
    dataCentres[id.startsWith('agent-') ? Number(id.slice(6)) % 3 : 0] as DataCentreId;

  const findLink = (id: string) => links.get(id) as ReturnType<typeof createLink>;

  const propose = (command: object) => log.propose(command as never);

  const applyConfig = (expectedVersion: number) =>
    propose({
      ...{ type: 'applyConfig', changeId: `config-${expectedVersion}`, operator: 'test' },
      expectedVersion,
      config: {
        dataCentres: Object.fromEntries(dataCentres.map((id) => [id, { region: 'punjab' }])),
        ...{ services: {}, accounts: {}, concurrentLoads: 1 },
      },
    });

  const daemonIds = ['entry-0', ...Array.from({ length: agents }, (_, i) => `agent-${i}`)];

  /** Cuts a group of processes off from all others. */
  const cutGroup = (group: readonly string[]): void =>
    group.forEach((id) =>
      [...processes.keys()]
        .filter((other) => !group.includes(other))
        .forEach((other) => network.cut(id, other)),
    );

  const clearCuts = (): void =>
    [...processes.keys()].forEach((a) =>
      [...processes.keys()].forEach((b) => network.clearCut(a, b)),
    );

  const start = async (): Promise<void> => {
    await applyConfig(0);
    controlIds.forEach(startControl);
    daemonIds.forEach((id) =>
      startDaemon(id, id.startsWith('entry') ? 'entry' : 'agent', findDataCentre(id)),
    );
    await virtual.run(6_000);
  };

  /** Reads the current contact of each daemon. */
  const readContacts = (ids: readonly string[] = daemonIds): Record<string, string> =>
    Object.fromEntries(ids.map((id) => [id, findLink(id).readContact()]));

  /** Runs for `ms` and collects the contact states observed at steps of 50 ms. */
  const runAndCollect = async (ms: number, ids: readonly string[] = daemonIds) => {
    const seen = new Set<string>();
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 50) {
      await virtual.run(50);
      Object.values(readContacts(ids)).forEach((contact) => seen.add(contact));
    }
    return [...seen];
  };

  return {
    ...{ virtual, network, log, controlIds, daemonIds, start, startControl, startDaemon },
    ...{ cutGroup, clearCuts, readContacts, runAndCollect, findLink, findHub, findProcess },
    ...{ propose, applyConfig, findDataCentre },
    /** Disconnects a control node from the log or reconnects it. */
    setQuorum: (id: string, hasQuorum: boolean): void => {
      if (hasQuorum) withoutQuorum.delete(id);
      else withoutQuorum.add(id);
    },
  };
}
