import type { Agent } from 'node:http';
import type { Clock, DataCentreId, Hash, Random } from '@vanillarelay/core';
import type {
  ColdRateLimiter,
  CrashRecord,
  EndpointTable,
  HealthTracker,
  LoadView,
  NoticeTracker,
  RateLimiter,
  RetryBudget,
  RolloutTraffic,
} from '@vanillarelay/routing';
import type { EngineMemory, PlaceLimits, ServiceShares } from '@vanillarelay/scheduling';
import type { RouterFeatures } from '../daemon/router-features.js';
import type { SendQueue } from '../dispatch/send-queue.js';
import type { LogEvent } from '../log/log-event.js';
import type { MemoryBudget } from '../memory/memory-budget.js';
import type { RouterWire } from '../wire/router-wire.js';
import type { WorkPlacement } from './placing/work-placement.js';
import type { ServiceQueues } from './waiting/service-queues.js';

/** Dependencies and state that all requests of one router share. */
export interface RouterContext {
  clock: Clock;
  random: Random;
  hash: Hash;
  dataCentre: DataCentreId;
  features: RouterFeatures;
  wire: RouterWire;
  pool: Agent;
  sendQueue: SendQueue;
  /** Requests that wait for a place; used only with `features.scheduling`. */
  queues: ServiceQueues;
  shares: ServiceShares;
  placeLimits: PlaceLimits;
  engineMemory: EngineMemory;
  endpoints: EndpointTable;
  health: HealthTracker;
  loads: LoadView;
  workPlacement: WorkPlacement;
  budget: RetryBudget;
  /** Memory that this process may hold for others. */
  memory: MemoryBudget;
  crashes: CrashRecord;
  rateLimiter: RateLimiter;
  notices: NoticeTracker;
  coldRateLimiter: ColdRateLimiter;
  /** Absent when the settings have no bounds on roll-outs. */
  rollouts?: RolloutTraffic;
  /** Aborted when this process stops and must end the requests that still run. */
  stopSignal: AbortSignal;
  /** Functions that abort the requests which are running. */
  running: Set<() => void>;
  isDataCentreOut: (id: DataCentreId) => boolean;
  /** Records for how long this process delayed a request, apart from any wait for an endpoint. */
  recordDelay: (ms: number) => void;
  /** Writes a line to the log. */
  record: (event: LogEvent, details: object) => void;
}
