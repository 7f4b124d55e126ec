import type { EndpointId } from '@vanillarelay/core';
import type { MemoryNeed } from '@vanillarelay/scheduling';

/** What decides which endpoints of a service may take a request. */
export interface CandidateRequest {
  /** Decides, with `tried`, which version it uses while one is rolled out. */
  key: string;
  /** Endpoints that it was sent to. */
  tried: ReadonlySet<EndpointId>;
  /** What it needs of an engine's memory; undefined without a prompt or a bound. */
  memoryNeed?: MemoryNeed | undefined;
}
