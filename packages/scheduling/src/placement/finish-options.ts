import type { DataCentreId, EndpointId, Hash } from '@vanillarelay/core';
import type { HomeOrder } from './home-order.js';
import type { Finish } from './finish.js';

/** What a choice by the expected finish depends on. */
export interface FinishOptions {
  hash: Hash;
  random: () => number;
  dataCentre: DataCentreId;
  /** Estimates the finish at an endpoint, which may be the home of the prompt. */
  estimateFinish: (id: EndpointId, isHome: boolean) => Finish;
  /** Order of the endpoints of the request's service for a prompt. */
  order: HomeOrder;
}
