// Worker thread with callers that leave early and an endpoint, which go on while the main thread is
// blocked.
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { parentPort } from 'node:worker_threads';

/** Time from the first request of a batch until the endpoint answers it. */
let answerAfterMs = 0;
let isRefusing = false;
let arrivals = 0;

const endpoint = createServer((message, response) => {
  arrivals += 1;
  message.resume();
  const proof = isRefusing ? { 'x-not-run': '1' } : { 'x-signed': '1' };
  const head = { ...proof, 'x-id': message.headers['x-id'] };
  setTimeout(() => response.writeHead(isRefusing ? 503 : 200, head).end('ok'), answerAfterMs);
});

/** Sends parts of requests on one connection, then leaves. */
const startCaller = ({ port, parts, leaveAfterMs, how }) => {
  const socket = connect(port, '127.0.0.1', () => {
    parts.forEach((part, i) => setTimeout(() => socket.write(part), i));
  });
  socket.on('error', () => {});
  setTimeout(() => socket[how](), leaveAfterMs);
};

const calls = {
  listen: async () => {
    await new Promise((resolve) => {
      endpoint.listen(0, '127.0.0.1', resolve);
    });
    return endpoint.address().port;
  },
  setAnswer: (options) => {
    answerAfterMs = options.answerAfterMs ?? 0;
    isRefusing = options.isRefusing ?? false;
  },
  startCallers: ({ count, startAfterMs = 0, ...caller }) => {
    setTimeout(() => {
      for (let i = 0; i < count; i += 1) startCaller(caller);
    }, startAfterMs);
  },
  takeArrivals: () => {
    const count = arrivals;
    arrivals = 0;
    return count;
  },
  close: () => endpoint.closeAllConnections(),
};

parentPort.on('message', async ({ id, call, options }) => {
  parentPort.postMessage({ id, result: await calls[call](options) });
});
