import type { FleetPeer } from '@vanillarelay/fleet';
import { callJson } from './call-json.js';
import { fleetPaths } from './fleet-paths.js';

interface FleetPeerOptions {
  address: string;
  recordBytes: (direction: 'sent' | 'received', bytes: number) => void;
}

/** Creates the client for another daemon; connections are opened on demand. */
export function openFleetPeer({ address, recordBytes }: FleetPeerOptions): FleetPeer {
  const call = <T>(path: string, body: unknown, signal: AbortSignal): Promise<T> =>
    callJson<T>({ address, path, body, signal, recordBytes });
  return {
    hello: (request, signal) => call(fleetPaths.hello, request, signal),
    sync: (request, signal) => call(fleetPaths.sync, request, signal),
    announce: async (message, signal) => {
      await call(fleetPaths.announce, message, signal);
    },
    propose: (proposal, signal) => call(fleetPaths.propose, proposal, signal),
    readIndex: (signal) => call(fleetPaths.readIndex, {}, signal),
    requestRemoval: async (request, signal) => {
      await call(fleetPaths.requestRemoval, request, signal);
    },
    raft: {
      requestVote: (request, signal) => call(fleetPaths.requestVote, request, signal),
      appendEntries: (request, signal) => call(fleetPaths.appendEntries, request, signal),
      installSnapshot: (request, signal) => call(fleetPaths.installSnapshot, request, signal),
      readSender: (signal) => call(fleetPaths.readSender, {}, signal),
    },
  };
}
