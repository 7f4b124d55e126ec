import { openReplicatedStore, type RaftPeer, type ReplicatedStore } from '@vanillarelay/control';
import { RelayError, ResultCode, type Command, type CommandResult } from '@vanillarelay/core';
import { createFakeDisk } from '../fakes/create-fake-disk.js';
import { createFakeNetwork } from '../fakes/create-fake-network.js';
import { createSeededRandom } from '../fakes/create-seeded-random.js';
import { createVirtualClock } from '../fakes/create-virtual-clock.js';
import type { VirtualProcess } from '../fakes/virtual-process.js';
import { wrapProcessDisk } from '../fakes/wrap-process-disk.js';

interface ControlGroupOptions {
  seed: number;
  ids?: string[];
  snapshotBytes?: number;
  /** Duration of one disk sync, in milliseconds. */
  syncMs?: number;
  /** Offset of the wall clock of each node, in milliseconds. */
  clockOffsets?: Record<string, number>;
}

interface ControlNode {
  id: string;
  disk: ReturnType<typeof createFakeDisk>;
  process: VirtualProcess;
  store?: ReplicatedStore;
  failure?: Error;
}

/** Creates a control group on a virtual clock; tests can inject faults into disks and network. */
export function createControlGroup({
  seed,
  ids = ['control-1', 'control-2', 'control-3'],
  snapshotBytes,
  syncMs = 1,
  clockOffsets = {},
}: ControlGroupOptions) {
  const random = createSeededRandom(seed);
  const virtual = createVirtualClock();
  const network = createFakeNetwork({ virtual, random });
  const nodes = new Map<string, ControlNode>();
  const initialMembers = ids.map((id) => ({ id, address: id }));
  const events: string[] = [];
  let diskCount = 0;

  const findOrAddNode = (id: string): ControlNode => {
    const node = nodes.get(id) ?? {
      id,
      disk: createFakeDisk({ random }),
      process: virtual.createProcess(id, clockOffsets[id]),
    };
    nodes.set(id, node);
    return node;
  };

  const readStore = ({ store, id }: ControlNode): ReplicatedStore => {
    if (!store) throw new Error(`${id} has not opened its store`);
    return store;
  };

  /** Calls one method of a node through the network; message and result are copied through JSON. */
  const call = async <M, T>(
    from: VirtualProcess,
    to: string,
    message: M,
    callStore: (store: ReplicatedStore, message: M) => Promise<T>,
    signal?: AbortSignal,
  ): Promise<T> => {
    const node = findOrAddNode(to);
    const sent = toJsonCopy(message);
    const run = async (received: M): Promise<T> => {
      if (!node.store) throw buildRefusal(to);
      return toJsonCopy(await callStore(node.store, toJsonCopy(received)));
    };
    const handlers: { run: (received: M, signal?: AbortSignal) => Promise<T> } = { run };
    const client = network.open(from, () => ({ process: node.process, handlers }));
    return client.run(sent, ...(signal ? [signal] : []));
  };

  const openPeer =
    (from: VirtualProcess) =>
    (address: string): RaftPeer => ({
      requestVote: (request, signal) =>
        call(from, address, request, (s, r) => s.handlers.requestVote(r, signal), signal),
      appendEntries: (request, signal) =>
        call(from, address, request, (s, r) => s.handlers.appendEntries(r, signal), signal),
      installSnapshot: (request, signal) =>
        call(from, address, request, (s, r) => s.handlers.installSnapshot(r, signal), signal),
      readSender: (signal) =>
        call(from, address, undefined, (s) => s.handlers.readSender(signal), signal),
    });

  const openStore = async (node: ControlNode): Promise<void> => {
    const { process, id } = node;
    const store = await openReplicatedStore({
      id,
      address: id,
      clock: process.clock,
      random,
      timeline: { record: (name) => events.push(`${id} ${name}`) },
      openDisk: async () => wrapProcessDisk({ process, disk: node.disk.disk, syncMs }),
      createDiskId: () => {
        diskCount += 1;
        return `disk-${diskCount}`;
      },
      initialMembers,
      openPeer: openPeer(process),
      ...(snapshotBytes === undefined ? {} : { snapshotBytes }),
      reportFailure: (error) => {
        node.failure = error;
        process.kill();
      },
    });
    node.store = store;
    store.start();
  };

  /** Starts a node, or restarts it after a kill with the data that its disk kept. */
  const start = (id: string): void => {
    const node = findOrAddNode(id);
    node.process = virtual.createProcess(id, clockOffsets[id]);
    delete node.store;
    delete node.failure;
    void openStore(node).catch((error: Error) => {
      node.failure = error;
    });
  };

  const kill = (id: string): void => {
    const node = findOrAddNode(id);
    node.process.kill();
    node.disk.crash();
  };

  const listOthers = (id: string) => [...nodes.keys()].filter((other) => other !== id);

  /** Finds the running leader with the highest term. */
  const findLeader = (): string | undefined =>
    [...nodes.values()]
      .filter(({ process, store }) => process.isAlive() && store?.readStatus().role === 'leader')
      .sort((a, b) => readStore(b).readStatus().term - readStore(a).readStatus().term)[0]?.id;

  /** Waits for a leader that heard from a quorum less than 900 ms ago. */
  const waitForLeader = async (limitMs = 20_000): Promise<string> => {
    for (let waited = 0; waited <= limitMs; waited += 50) {
      const leader = findLeader();
      if (leader && readStore(findOrAddNode(leader)).readStateAgeMs() < 900) return leader;
      await virtual.run(50);
    }
    throw new Error(`no leader within ${limitMs} ms (seed ${seed})`);
  };

  /**
   * Proposes a command to a random node, then to the leader that a refusal names or to a random
   * node, until the command is answered or an error is final.
   */
  const propose = async (
    client: VirtualProcess,
    command: Command,
    isFinal: (error: RelayError) => boolean = () => false,
  ): Promise<CommandResult> => {
    const all = [...nodes.keys()];
    let target = all[Math.floor(random() * all.length)] ?? '';
    for (;;) {
      const controller = new AbortController();
      const cancel = client.clock.startTimer(3_000, () => controller.abort());
      try {
        const to = target;
        return await call(client, to, command, (s, c) => s.propose(c), controller.signal);
      } catch (error) {
        if (!(error instanceof RelayError)) throw error;
        if (isFinal(error)) throw error;
        target = error.leader ?? all[Math.floor(random() * all.length)] ?? '';
        await client.clock.wait(50);
      } finally {
        cancel();
      }
    }
  };

  ids.forEach((id) => start(id));

  return {
    virtual,
    network,
    events,
    seed,
    start,
    kill,
    findLeader,
    waitForLeader,
    propose,
    createClient: (id: string) => virtual.createProcess(id),
    readStore: (id: string) => readStore(findOrAddNode(id)),
    readFailure: (id: string) => findOrAddNode(id).failure,
    isAlive: (id: string) => findOrAddNode(id).process.isAlive(),
    freeze: (id: string) => findOrAddNode(id).process.freeze(),
    resume: (id: string) => findOrAddNode(id).process.resume(),
    /** Empties the disk of a killed node. */
    wipe: (id: string) => findOrAddNode(id).disk.wipe(),
    findDisk: (id: string) => findOrAddNode(id).disk,
    /** Loses all messages between a node and the other nodes, in both directions. */
    cutOff: (id: string) => listOthers(id).forEach((other) => network.cut(id, other)),
    clearCuts: (id: string) => listOthers(id).forEach((other) => network.clearCut(id, other)),
  };
}

function buildRefusal(id: string): RelayError {
  return new RelayError(ResultCode.connectionFailed, `${id} has not started yet`, { notRun: true });
}

function toJsonCopy<T>(value: T): T {
  return value === undefined ? value : (JSON.parse(JSON.stringify(value)) as T);
}
