import { withDeadline, type Clock } from '@vanillarelay/core';
import type { EndpointTable } from '@vanillarelay/routing';
import type { DaemonInfo } from '../messages/daemon-info.js';
import type { FleetPeer } from '../messages/fleet-peer.js';
import type { SyncReply } from '../messages/sync-reply.js';
import type { SyncRequest } from '../messages/sync-request.js';

interface ExchangeOptions {
  clock: Clock;
  readSelf: () => DaemonInfo;
  openPeer: (address: string) => FleetPeer;
  table: EndpointTable;
}

type Question = Pick<SyncRequest, 'isHub' | 'stateIndex' | 'observations' | 'heard' | 'waitMs'>;
type Position = Pick<SyncRequest, 'hubIncarnation' | 'cursor' | 'daemonsVersion' | 'heardCursor'>;

const answerSlackMs = 600;
const start: Position = { hubIncarnation: '', cursor: 0, daemonsVersion: 0, heardCursor: 0 };

/** Makes a caller of one hub at a time, which asks only for what changed since its last answer. */
export function createExchange({ clock, readSelf, openPeer, table }: ExchangeOptions) {
  let hub = '';
  let position = start;

  return async (address: string, question: Question): Promise<SyncReply> => {
    if (address !== hub) position = start;
    hub = address;
    const request = { from: readSelf(), ...position, ...question };
    const reply = await withDeadline(clock, question.waitMs + answerSlackMs, (signal) =>
      openPeer(address).sync(request, signal),
    );
    const { hubIncarnation, cursor, daemonsVersion, heardCursor } = reply;
    position = { hubIncarnation, cursor, daemonsVersion, heardCursor };
    reply.records.forEach((entry) => table.merge(entry));
    table.markHeardElsewhere(reply.heard);
    return reply;
  };
}
