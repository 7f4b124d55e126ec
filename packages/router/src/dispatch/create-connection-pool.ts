import { Agent, type ClientRequest } from 'node:http';
import type { Duplex } from 'node:stream';

/** Maximum number of idle connections that are kept to each endpoint. */
const maxIdlePerEndpoint = 16;
const idleTimeoutMs = 8_000;

/** Creates the pool of connections to all endpoints; each carries one request at a time. */
export function createConnectionPool(): Agent {
  const agent = new Agent({
    keepAlive: true,
    scheduling: 'lifo',
    maxFreeSockets: maxIdlePerEndpoint,
    timeout: idleTimeoutMs,
  });
  const { keepSocketAlive, reuseSocket } = agent as Agent & PoolHooks;
  const hooks: PoolHooks = {
    // Data on an idle connection belongs to no request, so the connection must not be reused.
    keepSocketAlive: (socket) => {
      const isKept = keepSocketAlive.call(agent, socket);
      if (isKept) socket.on('data', closeSocket);
      return isKept;
    },
    reuseSocket: (socket, request) => {
      socket.removeListener('data', closeSocket);
      reuseSocket.call(agent, socket, request);
    },
  };
  return Object.assign(agent, hooks);
}

interface PoolHooks {
  keepSocketAlive(socket: Duplex): boolean;
  reuseSocket(socket: Duplex, request: ClientRequest): void;
}

function closeSocket(this: Duplex): void {
  this.destroy();
}
