import { createAgent } from '@vanillarelay/agent';
import {
  createHash,
  createHlc,
  createIdGenerator,
  createTimeline,
  RelayError,
  ResultCode,
  type AgentPeer,
  type DaemonState,
  type DispatchReply,
  type DispatchRequest,
  type EndpointAnswer,
  type EndpointClient,
  type EndpointRequest,
  type Member,
} from '@vanillarelay/core';
import {
  createFakeNetwork,
  createSeededRandom,
  createVirtualClock,
  type VirtualProcess,
} from '@vanillarelay/scenarios';
import { createFakeControl } from './create-fake-control.js';

const seed = 7;

/** Creates an agent with a scripted endpoint and a fake control node on a virtual clock. */
export async function createHarness({ slots = 4, coldLimit = 4, type = 'plain' } = {}) {
  const virtual = createVirtualClock();
  const random = createSeededRandom(seed);
  const network = createFakeNetwork({ virtual, random });
  const process = virtual.createProcess('agent-1');
  const entry = virtual.createProcess('entry-1');
  const { clock } = process;
  const hlc = createHlc(clock);
  const log = createFakeControl(virtual.clock);
  const timeline = createTimeline({ hlc, process: 'a', vm: 'v', dataCentre: 'd' } as never);
  const service = { type, loadMultiple: 2, coldLimit, firstByteMs: 500, kinds: {} };
  const view = {
    state: {
      version: 1,
      config: { services: { orders: service } },
      dataCentresOut: [] as string[],
      draining: [] as string[],
      marks: [],
      orders: [],
    } as unknown as DaemonState,
    members: new Map<string, Member>(),
    means: { orders: slots } as Record<string, number>,
    loads: new Map<string, number>(),
  };
  const status = { contact: 'attached', nextState: undefined as DaemonState | undefined };
  const endpoint = createEndpoint(virtual.createProcess('endpoint-1'));
  const peers = new Map<string, AgentPeer>();
  const agent = createAgent({
    id: 'agent-1',
    vm: 'vm-1',
    dataCentre: 'lahore',
    service: 'orders',
    address: 'agent-1',
    slots,
    incarnation: 1,
    clock,
    random,
    hash: await createHash(),
    hlc,
    timeline,
    createId: createIdGenerator(random),
    endpoint: network.open(process, () => endpoint),
    control: { propose: log.propose },
    findLink: () => ({
      readView: () => ({ ...view }),
      readContact: () => status.contact,
      receiveVersion: async (version: number) => {
        await clock.wait(200);
        if (status.nextState?.version === version) view.state = status.nextState;
        return view.state.version >= version;
      },
    }),
    openAgent: (address: string) => peers.get(address)!,
  } as never);
  agent.start();
  const client = network.open(entry, () => ({ process, handlers: agent.handlers }));
  let attempts = 0;

  const dispatch = (fields: Partial<DispatchRequest> | Record<string, unknown> = {}) => {
    attempts += 1;
    const controller = new AbortController();
    const request = { ...buildRequest(`attempt-${attempts}`), ...fields } as DispatchRequest;
    const reply = client.dispatch(request, controller.signal).then(readReply);
    return { reply, controller };
  };

  /** Sends a request and runs the clock until its answer is complete. */
  const ask = (fields?: Parameters<typeof dispatch>[0]) => virtual.runUntil(dispatch(fields).reply);

  return {
    buildRequest,
    virtual,
    network,
    process,
    agent,
    client,
    log,
    view,
    status,
    endpoint,
    peers,
    dispatch,
    ask,
    timeline,
  };
}

function buildRequest(attemptId: string) {
  return {
    requestId: attemptId,
    attemptId,
    account: 'account-1',
    service: 'orders',
    kind: 'order',
    idempotent: true,
    mustArrive: false,
    priority: 5,
    remainingMs: 10_000,
    resumable: false,
    takeOver: false,
    bodyHash: 'hash-1',
    fingerprint: `print-${attemptId}`,
    method: 'POST',
    path: '/orders',
    headers: {},
    body: Buffer.from('{}'),
    stateVersion: 1,
  };
}

/** Converts a reply to a short text: status and body, or the refusal. */
async function readReply(reply: DispatchReply): Promise<string> {
  if (reply.type === 'refusal') {
    const { code, notRun, retryAfterMs, holder } = reply.refusal;
    const name = Object.entries(ResultCode).find(([, value]) => value === code)?.[0];
    const rest = `${retryAfterMs === undefined ? ' no retryAfterMs' : ''}${holder ? ` ${holder}` : ''}`;
    return `${name} notRun=${notRun}${rest}`;
  }
  let text = '';
  try {
    for await (const chunk of reply.body) text += Buffer.from(chunk).toString();
  } catch (error) {
    text += `<broke off: ${(error as RelayError).code}>`;
  }
  return `${reply.status} ${text}${reply.replayed ? ' (replayed)' : ''}`;
}

/** An endpoint that answers after `runMs`; tests may replace its `answer`. */
function createEndpoint(process: VirtualProcess) {
  const endpoint = {
    process,
    runMs: 100,
    instance: 'first',
    cold: false,
    runs: [] as string[],
    cancelled: 0,
    maxConcurrent: 0,
    orders: [] as string[],
    answer: async (request: EndpointRequest, signal: AbortSignal): Promise<EndpointAnswer> => {
      await process.clock.wait(endpoint.runMs, signal);
      return {
        status: 200,
        headers: { 'content-type': 'text/plain' },
        body: write([request.path]),
      };
    },
    handlers: {} as EndpointClient,
  };
  let running = 0;
  endpoint.handlers = {
    run: async (request, signal) => {
      endpoint.runs.push(request.path);
      running += 1;
      endpoint.maxConcurrent = Math.max(endpoint.maxConcurrent, running);
      signal.addEventListener('abort', () => {
        endpoint.cancelled += 1;
      });
      try {
        return await endpoint.answer(request, signal);
      } finally {
        running -= 1;
      }
    },
    readHealth: async () => ({ instance: endpoint.instance, cold: endpoint.cold, running }),
    sendOrder: async ({ target }) => {
      endpoint.orders.push(target);
    },
    exportCache: async (chat) => Buffer.from(`cache of ${chat}`),
    importCache: async () => {},
  };
  return endpoint;
}

async function* write(chunks: string[]) {
  for (const chunk of chunks) yield Buffer.from(chunk);
}
