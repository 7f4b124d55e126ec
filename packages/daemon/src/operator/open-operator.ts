import {
  mergeTimelines,
  RelayError,
  ResultCode,
  type CommandResult,
  type TimelineEvent,
} from '@vanillarelay/core';
import { createTRPCClient, createWSClient, wsLink } from '@trpc/client';
import type { ControlRouter } from '../control/control-router.js';
import { createControlSocket } from '../control/create-control-socket.js';
import type { DaemonEntry } from '../control/daemon-entry.js';
import type { Trust } from '../trust/trust.js';
import type { OperatorClient } from './operator-client.js';
import { requestTimeline } from './request-timeline.js';

interface OperatorOptions {
  operatorKey: string;
  /** IP and port of each control node. */
  control: string[];
}

const callTimeoutMs = 3_000;
const rounds = 3;

/** Opens an operator's client of the control nodes; each call tries them in turn. */
export function openOperator({ operatorKey, control }: OperatorOptions): OperatorClient {
  const nodes = control.map((address) => openNode(address, { key: operatorKey }));
  type Node = (typeof nodes)[number];
  type Caller = Node['client'];

  const call = async <T>(
    { address, client }: Node,
    run: (client: Caller, signal: AbortSignal) => Promise<T>,
  ): Promise<T> => {
    try {
      return await run(client, AbortSignal.timeout(callTimeoutMs));
    } catch (cause) {
      throw new RelayError(
        ResultCode.connectionFailed,
        `control node ${address} did not answer: ${(cause as Error).message}`,
        { cause },
      );
    }
  };

  /** The first answer of a control node that passes, over all nodes, a few rounds long. */
  const callAny = async <T>(
    run: (client: Caller, signal: AbortSignal) => Promise<T>,
    isFinal: (value: T) => boolean = () => true,
  ): Promise<T> => {
    let last: { value: T } | { error: unknown } = { error: undefined };
    for (let round = 0; round < rounds; round += 1) {
      for (const node of nodes) {
        try {
          last = { value: await call(node, run) };
          if (isFinal(last.value)) return last.value;
        } catch (error) {
          last = { error };
        }
      }
    }
    if ('value' in last) return last.value;
    throw last.error;
  };

  const isNoReferral = (result: CommandResult) =>
    result.ok || (result.code !== ResultCode.notLeader && result.code !== ResultCode.noQuorum);

  const listDaemons = async () => {
    const answers = await Promise.allSettled(
      nodes.map((node) =>
        call(node, (client, signal) => client.listDaemons.query(undefined, { signal })),
      ),
    );
    const newest = new Map<string, DaemonEntry & { version: number }>();
    answers.forEach((answer) => {
      if (answer.status === 'rejected') return;
      answer.value.forEach((entry) => {
        if ((newest.get(entry.daemon)?.silentMs ?? Infinity) <= entry.silentMs) return;
        newest.set(entry.daemon, { ...entry, version: entry.stateVersion });
      });
    });
    return [...newest.values()].sort((a, b) => (a.daemon < b.daemon ? -1 : 1));
  };

  const listControls = () =>
    Promise.all(
      nodes.map(async (node) => {
        const { address } = node;
        try {
          const state = await call(node, (client, signal) =>
            client.readState.query(undefined, { signal }),
          );
          return { address, version: state.version };
        } catch (error) {
          return { address, error: (error as Error).message };
        }
      }),
    );

  const readTimeline: OperatorClient['readTimeline'] = async (requestId) => {
    const sources = [
      ...nodes.map((node) => ({
        name: node.address,
        read: () =>
          call(node, (client, signal) => client.readTimeline.query(undefined, { signal })),
      })),
      ...(await listDaemons()).map(({ daemon, address }) => ({
        name: daemon,
        read: () => requestTimeline(address, operatorKey, callTimeoutMs),
      })),
    ];
    const answers = await Promise.allSettled(sources.map(({ read }) => read()));
    const timelines = answers.map((answer) =>
      answer.status === 'fulfilled' ? (answer.value as TimelineEvent[]) : [],
    );
    const events = mergeTimelines(timelines);
    return {
      events: requestId ? events.filter((event) => event.requestId === requestId) : events,
      missing: sources
        .filter((_, index) => answers[index]?.status === 'rejected')
        .map(({ name }) => name),
    };
  };

  return {
    propose: (command) =>
      callAny((client, signal) => client.propose.mutate(command, { signal }), isNoReferral),
    readState: () => callAny((client, signal) => client.readState.query(undefined, { signal })),
    listHistory: () => callAny((client, signal) => client.listHistory.query(undefined, { signal })),
    listEndpoints: () =>
      callAny((client, signal) => client.listEndpoints.query(undefined, { signal })),
    listDaemons,
    listControls,
    readTimeline,
    close: () => nodes.forEach(({ close }) => close()),
  };
}

function openNode(address: string, trust: Trust) {
  const { Constructor } = createControlSocket(trust, { open: () => {}, fail: () => {} });
  const socket = createWSClient({
    url: `${trust.tls ? 'wss' : 'ws'}://${address}`,
    WebSocket: Constructor as unknown as typeof globalThis.WebSocket,
  });
  const client = createTRPCClient<ControlRouter>({ links: [wsLink({ client: socket })] });
  const close = (): void => {
    socket.close().catch(() => {});
  };
  return { address, client, close };
}
