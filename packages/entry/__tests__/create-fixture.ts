import {
  createHash,
  createHistograms,
  createHlc,
  createIdGenerator,
  createTimeline,
  hashSha256,
  RelayError,
  ResultCode,
  toId,
  type AgentClient,
  type Command,
  type CommandResult,
  type ControlClient,
  type DispatchReply,
  type DispatchRequest,
  type EndpointId,
  type FleetConfig,
  type HlcTime,
  type Member,
  type Refusal,
} from '@vanillarelay/core';
import { createEntry, type CallerReply, type CallerRequest } from '@vanillarelay/entry';
import type { FleetView } from '@vanillarelay/link';
import { createFakeNetwork, createSeededRandom, createVirtualClock } from '@vanillarelay/scenarios';

interface FixtureOptions {
  agents?: number;
  seed?: number;
  /** Called by an agent before it runs a dispatch; a returned refusal is its answer. */
  check?: (agent: string, request: DispatchRequest) => Refusal | undefined;
  /** Time from the claim to the answer, in milliseconds. */
  runMs?: number;
  /** Time from the dispatch to the claim, in milliseconds. */
  claimMs?: number;
}

const kind = { methods: ['POST'], mustArrive: false, priority: 5, deadlineMs: 10_000 };

const config = {
  dataCentres: {},
  concurrentLoads: 1,
  services: {
    reports: {
      type: 'model',
      loadMultiple: 2,
      coldLimit: 1,
      firstByteMs: 500,
      kinds: { chat: { ...kind, pathPrefix: '/v1/chat/completions', idempotent: true } },
    },
    notices: {
      type: 'plain',
      loadMultiple: 2,
      coldLimit: 1,
      firstByteMs: 500,
      kinds: {
        lookup: { ...kind, pathPrefix: '/permits', idempotent: true },
        walkthrough: {
          ...kind,
          pathPrefix: '/photos',
          idempotent: true,
          mustArrive: true,
          deadlineMs: 600_000,
        },
        notice: { ...kind, pathPrefix: '/notices', idempotent: false },
      },
    },
    closed: { type: 'plain', loadMultiple: 2, coldLimit: 1, firstByteMs: 500, kinds: {} },
  },
  accounts: {
    inspectors: {
      keyHashes: [hashSha256('key-1')],
      requestsPerSecond: 1_000,
      services: ['reports', 'notices'],
    },
  },
} as unknown as FleetConfig;

/** Creates an entry with fake agents and a fake control node on a virtual clock. */
export async function createFixture(options: FixtureOptions = {}) {
  const { agents = 3, seed = 1, check = () => undefined, runMs = 10, claimMs = 1 } = options;
  const virtual = createVirtualClock();
  const random = createSeededRandom(seed);
  const network = createFakeNetwork({ virtual, random });
  const controlProcess = virtual.createProcess('control');
  const hash = await createHash();
  const hlc = createHlc(virtual.clock);
  const identity = { process: 'entry', vm: 'vm', dataCentre: 'lahore' } as never;
  const timeline = createTimeline({ hlc, ...(identity as object) } as never);
  const records = new Map<string, string>();
  const voided = new Set<string>();
  const runs = new Map<string, number>();
  const dispatches: { agent: string; request: DispatchRequest }[] = [];

  const propose = async (command: Command): Promise<CommandResult> => {
    const refused = { ok: false, code: ResultCode.alreadyRunning, message: '' } as const;
    if (command.type === 'void') {
      if (records.get(command.key) === command.attemptId) return refused;
      voided.add(command.attemptId);
      return { ok: true, index: 1 };
    }
    if (command.type !== 'claim') return refused;
    if (records.has(command.key) || voided.has(command.attemptId)) return refused;
    records.set(command.key, command.attemptId);
    return { ok: true, index: 1 };
  };

  const createAgent = (id: string) => {
    const process = virtual.createProcess(id);
    const control = network.open(process, () => ({
      process: controlProcess,
      handlers: { propose },
    }));
    const head = { stateVersion: 1, at: '' as HlcTime };
    const dispatch = async (request: DispatchRequest, signal: AbortSignal) => {
      dispatches.push({ agent: id, request });
      const refuse = (refusal: Refusal): DispatchReply => ({ ...head, type: 'refusal', refusal });
      const refusal = check(id, request);
      if (refusal) return refuse(refusal);
      const { idempotencyKey: key = request.requestId, attemptId, account, bodyHash } = request;
      await process.clock.wait(claimMs);
      const claim = { account, key, attemptId, bodyHash, endpoint: toId<EndpointId>(id) };
      if (!request.idempotent) {
        const result = await control.propose({
          ...claim,
          type: 'claim',
          incarnation: 1,
          nonce: attemptId,
        });
        if (!result.ok) {
          return refuse({ code: ResultCode.alreadyRunning, message: 'claimed', notRun: false });
        }
      }
      runs.set(key, (runs.get(key) ?? 0) + 1);
      await process.clock.wait(runMs, signal);
      if (signal.aborted) throw new RelayError(ResultCode.cancelled, 'cancelled');
      const body = (async function* write() {
        yield Buffer.from('data: [DONE]\n\n');
      })();
      return { ...head, type: 'answer' as const, status: 200, headers: {}, body };
    };
    const handlers = { dispatch } as Partial<AgentClient> as AgentClient;
    return { process, handlers };
  };

  const fleet = new Map(
    Array.from({ length: agents }, (_, index) => [`agent-${index}`, createAgent(`agent-${index}`)]),
  );
  const buildMember = (id: string, index: number): Member => ({
    id: toId(id),
    service: toId(index % 2 === 0 ? 'notices' : 'reports'),
    address: id,
    vm: toId(id),
    dataCentre: toId('lahore'),
    incarnation: 1,
    status: 'ready',
    slots: 8,
    damped: false,
  });
  const view = {
    current: {
      state: { version: 1, configVersion: 1, config, dataCentresOut: [], draining: [] },
      members: new Map(
        [...fleet.keys()].map((id) => [toId<EndpointId>(id), buildMember(id, 0)] as const),
      ),
      loads: new Map(),
      means: {},
      shares: {},
    } as unknown as FleetView,
  };
  const link = {
    readView: () => view.current,
    readContact: () => 'attached' as const,
    receiveVersion: async () => true,
  };
  const histograms = createHistograms();
  const openEntry = (id: string) => {
    const process = virtual.createProcess(id);
    const control = network.open<Control>(process, () => ({
      process: controlProcess,
      handlers: { propose },
    }));
    const created = createEntry({
      clock: process.clock,
      random,
      hash,
      hlc,
      timeline,
      histograms,
      createId: createIdGenerator(random),
      link,
      openAgent: (address) => network.open(process, () => fleet.get(address)),
      propose: (command, signal) => control.propose(command, signal),
    });
    return { process, ...created };
  };
  const entry = openEntry('entry');

  /** Applies the change that the function returns for each member, if any. */
  const updateMembers = (change: (member: Member) => Partial<Member> | undefined): void => {
    const members = new Map(
      [...view.current.members].map(([id, member]) => [id, { ...member, ...change(member) }]),
    );
    view.current = { ...view.current, members };
  };
  const removeMember = (id: string): void => {
    const members = new Map(view.current.members);
    members.delete(toId(id));
    view.current = { ...view.current, members };
  };

  const send = (
    request: Partial<CallerRequest> = {},
    signal = new AbortController().signal,
    through = entry,
  ) =>
    through.handle(
      {
        method: 'POST',
        path: '/services/notices/permits/1',
        body: Buffer.from('{}'),
        ...request,
        headers: { authorization: 'Bearer key-1', ...request.headers },
      },
      signal,
    );
  const readReply = async (reply: CallerReply) => {
    const chunks: Uint8Array[] = [];
    for await (const chunk of reply.body) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const isProblem = reply.headers['content-type'] === 'application/problem+json';
    const problem = isProblem ? (JSON.parse(text) as Record<string, unknown>) : undefined;
    return { status: reply.status, text, problem };
  };
  /** Sends a request and runs the clock until its answer is complete. */
  const ask = (request?: Partial<CallerRequest>, signal?: AbortSignal) =>
    virtual.runUntil(send(request, signal).then(readReply));

  return {
    virtual,
    network,
    entry,
    openEntry,
    fleet,
    view,
    link,
    hash,
    runs,
    records,
    dispatches,
    histograms,
    timeline,
    updateMembers,
    removeMember,
    send,
    ask,
    readReply,
  };
}

type Control = Pick<ControlClient, 'propose'>;
