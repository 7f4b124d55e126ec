import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Worker } from 'node:worker_threads';
import type { AgentPeer } from '@vanillarelay/core';
import { createAgentServer, createEntryServer } from '@vanillarelay/daemon';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { listenOn } from '../src/http/listen-on.js';

const callerCount = 20;
const leaveAfterMs = 100;
const blockMs = 800;
/** Time in which a server handles what came in while it was blocked. */
const settleMs = 300;
const key = 'peer-key-0123456789';
const lists = { listTimeline: () => [], listHistograms: () => [] };

let server: Server;
let callers: Worker;
let handled = 0;

beforeEach(() => {
  handled = 0;
});

afterEach(async () => {
  await callers.terminate();
  server.close();
  server.closeAllConnections();
});

/** Program of the thread whose callers go on while the main thread is blocked. */
const callersSource = `
  const { connect } = require('node:net');
  const { port, request, callerCount, leaveAfterMs } = require('node:worker_threads').workerData;
  for (let i = 0; i < callerCount; i += 1) {
    const socket = connect(port, '127.0.0.1', () => socket.write(request));
    socket.on('error', () => {});
    setTimeout(() => socket.destroy(), leaveAfterMs);
  }
`;

/** Handles requests without an end, so that a count is all that it leaves. */
const handle = () => {
  handled += 1;
  return new Promise<never>(() => {});
};

/** Blocks the event loop while callers send a request and leave; counts those handled afterwards. */
const countLateRequests = async (request: string): Promise<number> => {
  await listenOn(server, '127.0.0.1:0');
  const { port } = server.address() as AddressInfo;
  const workerData = { port, request, callerCount, leaveAfterMs };
  callers = new Worker(callersSource, { eval: true, workerData });
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, blockMs);
  await new Promise((resolve) => {
    setTimeout(resolve, settleMs);
  });
  return handled;
};

const buildPost = (path: string, ...headers: string[]) =>
  [`POST ${path} HTTP/1.1`, 'Host: test', 'Content-Length: 1', ...headers, '', 'x'].join('\r\n');

// Guards against an entry that dispatches requests of callers that have left.
it('an entry handles no request of a caller that left while its event loop was late', async () => {
  const entry = {
    ...{ handle, isReady: () => true, checkCaller: () => 'account' as never },
    buildRefusalReply: () => {
      throw new Error('no request of this test is refused');
    },
  };
  server = createEntryServer({ entry, operatorKeys: [], ...lists });
  expect(await countLateRequests(buildPost('/v1/reports/chat'))).toBe(0);
});

// Guards against an agent that runs requests whose entry has given them up.
it('an agent handles no dispatch that was given up while its event loop was late', async () => {
  const handlers = { dispatch: handle } as unknown as AgentPeer;
  server = createAgentServer({ handlers, peerKeys: [key], ...lists, reportUnauthorized: () => {} });
  const head = JSON.stringify(dispatch);
  const request = buildPost('/relay/dispatch', `x-relay-key: ${key}`, `x-relay-request: ${head}`);
  expect(await countLateRequests(request)).toBe(0);
});

const dispatch = {
  ...{ requestId: 'r', attemptId: 'a', account: 'account', service: 'reports', kind: 'chat' },
  ...{ idempotent: true, mustArrive: false, priority: 5, remainingMs: 1_000, resumable: false },
  ...{ takeOver: false, bodyHash: 'h', fingerprint: 'f', method: 'POST', path: '/v1' },
  ...{ headers: {}, stateVersion: 1, at: '00000000001000.00000' },
};
