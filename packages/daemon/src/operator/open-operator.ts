import {
  mergeTimelines,
  RelayError,
  toId,
  withTimeout,
  type DaemonId,
  type TimelineEvent,
} from '@vanillarelay/core';
import { createProposer } from '@vanillarelay/link';
import type { ListedDaemon } from '../control/listed-daemon.js';
import { openControl } from '../control/open-control.js';
import { createSystemClock } from '../platform/create-system-clock.js';
import type { OperatorClient } from './operator-client.js';
import { requestTimeline } from './request-timeline.js';

interface OperatorOptions {
  operatorKey: string;
  /** Address of each control node, as IP:port. */
  control: string[];
}

type ControlNodeClient = ReturnType<typeof openControl>;

const callTimeoutMs = 3_000;
/** Time limit of a proposal; long enough for an election after the loss of the leader. */
const proposeTimeoutMs = 8_000;

/** Opens an operator's client for the control nodes. */
export function openOperator({ operatorKey, control }: OperatorOptions): OperatorClient {
  const clock = createSystemClock();
  const nodes = control.map((address) => ({
    address,
    client: openControl(address, { key: operatorKey }),
  }));
  const propose = createProposer({
    clock,
    random: Math.random,
    limitMs: proposeTimeoutMs,
    controls: nodes.map(({ address, client }) => ({ id: toId<DaemonId>(address), client })),
  });

  const call = async <T>(
    { address, client }: (typeof nodes)[number],
    run: (client: ControlNodeClient) => Promise<T>,
  ): Promise<T> => {
    try {
      return await withTimeout(clock, callTimeoutMs, () => run(client));
    } catch (cause) {
      if (!(cause instanceof RelayError)) throw cause;
      const { code, message, notRun } = cause;
      throw new RelayError(code, `control node ${address}: ${message}`, { notRun, cause });
    }
  };

  const callAll = <T>(run: (client: ControlNodeClient) => Promise<T>) =>
    Promise.allSettled(nodes.map((node) => call(node, run)));

  /** Calls the control nodes in turn until one answers. */
  const callAny = async <T>(run: (client: ControlNodeClient) => Promise<T>): Promise<T> => {
    let lastError: unknown;
    for (const node of nodes) {
      try {
        return await call(node, run);
      } catch (error) {
        lastError = error;
      }
    }
    throw lastError;
  };

  /** Returns the newest state of all control nodes, because a partitioned node may be behind. */
  const readState: OperatorClient['readState'] = async () => {
    const answers = await callAll((client) => client.readState());
    const states = answers.flatMap((answer) =>
      answer.status === 'fulfilled' ? [answer.value] : [],
    );
    const newest = states.sort((a, b) => b.version - a.version)[0];
    return newest ?? callAny((client) => client.readState());
  };

  /** Merges the lists of all control nodes; of each daemon, keeps the row of the latest report. */
  const listDaemons = async () => {
    const answers = await callAll((client) => client.listDaemons());
    const newest = new Map<string, ListedDaemon & { version: number }>();
    answers.forEach((answer) => {
      if (answer.status === 'rejected') return;
      answer.value.forEach((row) => {
        const knownSilentMs = newest.get(row.daemon)?.silentMs ?? Number.POSITIVE_INFINITY;
        if (knownSilentMs <= row.silentMs) return;
        newest.set(row.daemon, { ...row, version: row.stateVersion });
      });
    });
    return [...newest.values()].sort((a, b) => (a.daemon < b.daemon ? -1 : 1));
  };

  const listControls = async () => {
    const answers = await callAll((client) => client.readState());
    return answers.map((answer, index) => {
      const address = nodes[index]?.address ?? '';
      return answer.status === 'fulfilled'
        ? { address, version: answer.value.version }
        : { address, error: (answer.reason as Error).message };
    });
  };

  const readTimeline: OperatorClient['readTimeline'] = async (requestId) => {
    const daemons = await listDaemons();
    const sources: { name: string; read: () => Promise<TimelineEvent[]> }[] = [
      ...nodes.map((node) => ({
        name: node.address,
        read: () => call(node, (client) => client.readTimeline()),
      })),
      ...daemons.map(({ daemon, address }) => ({
        name: daemon,
        read: () => requestTimeline(address, operatorKey, callTimeoutMs),
      })),
    ];
    const answers = await Promise.allSettled(sources.map(({ read }) => read()));
    const events = mergeTimelines(
      answers.map((answer) => (answer.status === 'fulfilled' ? answer.value : [])),
    );
    return {
      events: requestId ? events.filter((event) => event.requestId === requestId) : events,
      missing: sources
        .filter((_, index) => answers[index]?.status === 'rejected')
        .map(({ name }) => name),
    };
  };

  return {
    propose: (command) => propose(command, AbortSignal.timeout(proposeTimeoutMs)),
    readState,
    listHistory: () => callAny((client) => client.listHistory()),
    listEndpoints: async () => {
      const endpoints = await callAny((client) => client.listEndpoints());
      return endpoints.sort((a, b) => (a.id < b.id ? -1 : 1));
    },
    listDaemons,
    listControls,
    readTimeline,
    close: () => nodes.forEach(({ client }) => client.close()),
  };
}
