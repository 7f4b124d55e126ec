import type { EndpointId, ServiceId, SuspectId } from '@vanillarelay/core';
import type { MemoryNeed } from '@vanillarelay/scheduling';
import type { HoldReason } from './waiting/hold-reason.js';
import type { RequestResult } from './request-result.js';
import type { StreamProgress } from './attempt/stream-progress.js';

/** State of a request over its attempts. */
export interface RunState {
  service: ServiceId;
  deadlineAt: number;
  signal: AbortSignal;
  tried: Set<EndpointId>;
  /** Number of endpoints on which the request may have run. */
  possibleRuns: number;
  /** Whether an attempt has reached an endpoint, which may have refused it. */
  hasArrived: boolean;
  /** Whether the budget was spent for a retry that has not reached an endpoint yet. */
  isRetryPaid: boolean;
  progress: StreamProgress;
  result: RequestResult;
  lastReason: string;
  /** Key of the shared prefix of the prompt; undefined without a prompt. */
  affinityKey: string | undefined;
  /** Prompt parts that may crash endpoints. */
  partSuspects: SuspectId[];
  /** What it needs of an engine's memory; undefined without a prompt. */
  memoryNeed?: MemoryNeed;
  /** Why the last choice left out endpoints that may take other requests. */
  heldBackBy?: HoldReason;
  /** Number of endpoints that the last choice excluded, by reason. */
  passedOver?: object;
  /** Hash of the request's content; computed on first use. */
  contentSuspect?: SuspectId;
}
