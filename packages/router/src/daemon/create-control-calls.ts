import {
  RelayError,
  ResultCode,
  type Clock,
  type DataCentreId,
  type InputAge,
  type ServiceId,
} from '@vanillarelay/core';
import {
  findRollout,
  type FleetNode,
  type OrderSender,
  type SharedCommand,
} from '@vanillarelay/fleet';
import {
  checkRoutingConfig,
  type EndpointRecord,
  type EndpointTable,
  type RoutingConfig,
} from '@vanillarelay/routing';
import type { Log } from '../log/log.js';
import type { ControlCalls } from './control-calls.js';

interface ControlCallOptions {
  clock: Pick<Clock, 'monotonic' | 'now'>;
  inputAge: InputAge;
  node: FleetNode;
  endpoints: EndpointTable;
  log: Log;
  decodeConfig: (source: string) => RoutingConfig;
  /** Whether this daemon has the shared state, and with it all endpoints, and does not stop. */
  hasState: () => boolean;
  /** Whether the configuration that this daemon runs on has a service. */
  hasService: (service: ServiceId) => boolean;
  isReady: () => boolean;
  /** Counts an operator's call that was answered. */
  recordOrder: (order: string, status: number, ms: number) => void;
}

/**
 * Age at which an announcement may have been given up and repeated at another daemon; its sender may
 * have started again since. Below the 1 s after which endpoints do so.
 */
const maxAnnouncementAgeMs = 900;

/** Creates the calls for operators and endpoints on top of this daemon's fleet node. */
export function createControlCalls(options: ControlCallOptions): ControlCalls {
  const { clock, node, endpoints, log, decodeConfig, hasState, isReady } = options;

  const propose = async (command: SharedCommand, sender?: OrderSender): Promise<void> => {
    const result = await node.propose(command, sender);
    if (!result.ok) throw new RelayError(result.code, result.message);
  };

  const proposeDataCentre = async (
    type: SharedCommand['type'],
    id: DataCentreId,
    sender: OrderSender,
  ): Promise<void> => {
    await propose({ type, dataCentre: id } as SharedCommand, sender);
    log.write('dataCentre.changed', { dataCentre: id, change: type });
  };

  /** Whether this configuration is in force at this daemon, which may be behind. */
  const isInForce = (version: number, source: string): boolean => {
    const { state } = node.view;
    return state.version === version && state.source === source;
  };

  /** Throws unless the configuration in force has a service; this daemon may be behind it. */
  const checkService = async (service: ServiceId): Promise<void> => {
    if (options.hasService(service)) return;
    const { version, source } = await node.readConfirmedState();
    const services = version > 0 ? decodeConfig(source).services : [];
    if (services.some(({ id }) => id === service)) return;
    const message = `no service ${service} in version ${version} of the configuration`;
    throw new RelayError(ResultCode.unknownService, message, { notRun: true });
  };

  /** Reports an announcement to a hub ahead of the next heartbeat, which also carries it. */
  const announceToHub = async (record: EndpointRecord): Promise<void> => {
    try {
      await node.announce(record);
    } catch (error) {
      log.write('endpoint.notPassedOn', { endpoint: record.id, reason: (error as Error).message });
    }
  };

  return {
    startAge: options.inputAge.startAge,
    putConfig: async (source) => {
      const config = decodeConfig(source);
      const { version } = config;
      // An earlier version of this program may have accepted what is refused now.
      if (!isInForce(version, source)) checkRoutingConfig(config);
      try {
        await propose({ type: 'putConfig', version, source });
      } catch (error) {
        log.write('config.notAccepted', { version, reason: (error as Error).message });
        throw error;
      }
      log.write('config.accepted', { version });
    },
    readConfig: async () => {
      const { version, source } = await node.readConfirmedState();
      if (version > 0) return source;
      throw new RelayError(ResultCode.notReady, 'there is no configuration yet', { notRun: true });
    },
    takeOutDataCentre: (id, sender) => proposeDataCentre('takeOutDataCentre', id, sender),
    bringBackDataCentre: (id, sender) => proposeDataCentre('bringBackDataCentre', id, sender),
    startRollout: async (order, sender) => {
      await checkService(order.service);
      await propose({ type: 'startRollout', ...order, startedAt: clock.now() }, sender);
    },
    readRollout: async (service) => findRollout(await node.readConfirmedState(), service),
    announce: async (record, sender) => {
      checkAge(sender);
      const isUpdated = endpoints.announce(record);
      const { id, state, service, address, sequence, coldLeftMs } = record;
      if (isUpdated) {
        log.write('endpoint.announced', {
          endpoint: id,
          state,
          service,
          address,
          sequence,
          coldLeftMs,
        });
      }
      // Only a departure must reach a majority of the hubs before it is acknowledged; a ready
      // endpoint may reach them later.
      if (state !== 'ready') await node.announce(record);
      else if (isUpdated) void announceToHub(record);
    },
    reportInvalidAnnouncement: (endpoint, reason) =>
      log.write('endpoint.invalid', { endpoint, reason }),
    startOrder: (order) => {
      const startedAt = clock.monotonic();
      return (result) => {
        const ms = Math.round(clock.monotonic() - startedAt);
        log.write('order.answered', { order, ms, ...result });
        options.recordOrder(order, result.status, ms);
      };
    },
    removeEndpoint: async (id, sender) => {
      checkAge(sender);
      const known = endpoints.find(id);
      if (!known) {
        if (hasState()) return;
        const message = 'this daemon does not know all endpoints yet';
        throw new RelayError(ResultCode.notReady, message, { notRun: true });
      }
      endpoints.remove(id);
      log.write('endpoint.left', { endpoint: id });
      await node.announce({ ...known.record, state: 'gone', coldLeftMs: 0 });
    },
    findHub: (dataCentre) => {
      const { hubs, daemons } = node.view;
      const members = daemons.filter(({ address }) => hubs.includes(address));
      return members.find((info) => info.dataCentre === dataCentre) ?? members[0];
    },
    isReady,
  };
}

function checkAge({ readAgeMs }: OrderSender): void {
  if (readAgeMs() < maxAnnouncementAgeMs) return;
  const message = 'this daemon was paused, and the sender may have given the call up';
  throw new RelayError(ResultCode.notReady, message, { notRun: true });
}
