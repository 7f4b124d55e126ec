import type { DataCentreId, EndpointId, Hash } from '@vanillarelay/core';
import type { Finish } from './finish.js';

/** What a choice by the expected finish depends on. */
export interface FinishOptions {
  hash: Hash;
  random: () => number;
  dataCentre: DataCentreId;
  /** Estimates the finish at an endpoint, which may be the home of the prompt. */
  estimateFinish: (id: EndpointId, isHome: boolean) => Finish;
  /** Weight of an endpoint in the rendezvous order. */
  readWeight: (id: EndpointId) => number;
}
