import { createHub, createMemoryStore, type HubPeer } from '@vanillarelay/control';
import {
  createHlc,
  createTimeline,
  type Announcement,
  type Command,
  type Frame,
  type Report,
} from '@vanillarelay/core';
import {
  createFakeNetwork,
  createSeededRandom,
  createVirtualClock,
  type VirtualProcess,
} from '@vanillarelay/scenarios';

/** Creates a group of hubs that gossip over a fake network and receive handwritten reports. */
export function createHubGroup({ seed, hubs: count }: { seed: number; hubs: number }) {
  const virtual = createVirtualClock();
  const random = createSeededRandom(seed);
  const network = createFakeNetwork({ virtual, random });
  const store = createMemoryStore();
  const ids = Array.from({ length: count }, (_, index) => `hub-${index}`);
  const processes = new Map<string, VirtualProcess>();
  const hubs = new Map<string, ReturnType<typeof createHub>>();
  const hlc = createHlc(virtual.clock);

  const start = (id: string): void => {
    const process = virtual.createProcess(id);
    processes.set(id, process);
    const { clock } = process;
    const hubHlc = createHlc(clock);
    const origin = { process: id, vm: id, dataCentre: 'lahore' } as never;
    const peers = ids
      .filter((other) => other !== id)
      .map((other) => ({
        id: other as never,
        peer: network.open<HubPeer>(process, () => {
          const target = processes.get(other);
          const gossip: HubPeer['gossip'] = async (message) =>
            findHub(other).gossip(structuredClone(message));
          return target && { process: target, handlers: { gossip } };
        }),
      }));
    const timeline = createTimeline({ hlc: hubHlc, ...(origin as object) } as never);
    const hub = createHub({ id: id as never, clock, hlc: hubHlc, random, timeline, store, peers });
    hubs.set(id, hub);
    hub.start();
  };

  const findHub = (id: string) => hubs.get(id) as ReturnType<typeof createHub>;

  const sequences = new Map<string, number>();
  const buildAnnouncement = (id: string, change: Partial<Announcement> = {}): Announcement => {
    const sequence = (sequences.get(id) ?? 0) + 1;
    sequences.set(id, sequence);
    const common = { vm: id, dataCentre: 'lahore', address: id, service: 'reports', slots: 8 };
    return {
      ...{ id, ...common, incarnation: 1, status: 'ready', sequence, running: 0 },
      ...change,
    } as unknown as Announcement;
  };

  const buildReport = (daemon: string, change: Partial<Report> = {}): Report =>
    ({
      ...{ daemon, role: 'entry', vm: daemon, dataCentre: 'lahore', address: daemon },
      ...{ incarnation: 1, stateVersion: store.readState().daemon.version, contact: 'attached' },
      ...{ cursor: '', at: hlc.read() },
      ...change,
    }) as unknown as Report;

  /** Reports to a hub, which replies at once with the whole membership to an empty cursor. */
  const exchange = (hub: string, report: Report): Promise<Frame> =>
    virtual.runUntil(findHub(hub).exchange(report, new AbortController().signal));

  /** Reports as an agent; the hub replies at once. */
  const announce = (hub: string, id: string, change: Partial<Announcement> = {}) =>
    exchange(hub, buildReport(id, { role: 'agent', announcement: buildAnnouncement(id, change) }));

  const listMembers = async (hub: string): Promise<string[]> =>
    (await exchange(hub, buildReport('reader'))).members.map(({ member }) => member.id).sort();

  ids.forEach(start);
  return {
    ...{ virtual, network, store, ids, start, findHub, buildReport, exchange, announce },
    listMembers,
    findProcess: (id: string) => processes.get(id) as VirtualProcess,
    propose: (command: object) => store.propose(command as Command),
  };
}
