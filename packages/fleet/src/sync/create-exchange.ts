import { withTimeout, type Clock, type EventDetails } from '@vanillarelay/core';
import { listValidRecords, type EndpointTable } from '@vanillarelay/routing';
import { checkAddresses } from '../messages/check-addresses.js';
import { checkDaemonInfo } from '../messages/check-daemon-info.js';
import { checkObservations } from '../messages/check-observations.js';
import { checkRolloutAges } from '../messages/check-rollout-ages.js';
import type { DaemonInfo } from '../messages/daemon-info.js';
import type { FleetPeer } from '../messages/fleet-peer.js';
import type { SyncReply } from '../messages/sync-reply.js';
import type { SyncRequest } from '../messages/sync-request.js';

interface ExchangeOptions {
  clock: Clock;
  readSelf: () => DaemonInfo;
  openPeer: (address: string) => FleetPeer;
  table: EndpointTable;
  record: (name: string, details?: EventDetails) => void;
}

/** Request fields that the caller supplies; the exchange adds the sender and its position. */
type ExchangeInput = Pick<
  SyncRequest,
  'isHub' | 'stateIndex' | 'content' | 'observations' | 'heard' | 'waitMs' | 'quorumWaitMs'
>;
type Position = Pick<SyncRequest, 'hubIncarnation' | 'cursor' | 'daemonsVersion' | 'heardCursor'>;

/** Time allowed for the reply beyond the waits that the request grants to the hub. */
const replyMarginMs = 600;
const initialPosition: Position = {
  hubIncarnation: '',
  cursor: 0,
  daemonsVersion: 0,
  heardCursor: 0,
};

/** Creates a function that syncs with a hub and requests only the changes since its last reply. */
export function createExchange(options: ExchangeOptions) {
  const { clock, readSelf, openPeer, table, record } = options;
  let hub = '';
  let position = initialPosition;

  return async (
    address: string,
    input: ExchangeInput,
    marginMs = replyMarginMs,
  ): Promise<SyncReply> => {
    if (address !== hub) position = initialPosition;
    hub = address;
    const request = { from: readSelf(), ...position, ...input };
    const timeoutMs = input.waitMs + (input.quorumWaitMs ?? 0) + marginMs;
    const reply = await withTimeout(clock, timeoutMs, (signal) =>
      openPeer(address).sync(request, signal),
    );
    checkObservations(reply.observations);
    checkAddresses(reply.hubs);
    checkRolloutAges(reply.rolloutAges);
    reply.daemons?.forEach(checkDaemonInfo);
    const { hubIncarnation, cursor, daemonsVersion, heardCursor } = reply;
    position = { hubIncarnation, cursor, daemonsVersion, heardCursor };
    const reportInvalid = (reason: string) => record('endpoint.invalid', { from: address, reason });
    listValidRecords(reply.records, reportInvalid).forEach((endpoint) => table.merge(endpoint));
    table.recordHeardByOtherHub(reply.heard);
    return reply;
  };
}
