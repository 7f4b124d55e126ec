import type { Offer, WaitingRequest } from '@vanillarelay/scheduling';
import type { WaitRefusal } from './wait-refusal.js';

/** A request in the queue of its service at this router. */
export interface QueuedRequest extends WaitingRequest {
  /** Sends the request at once, if an endpoint has a place for it. */
  start: () => Offer;
  refuse: (refusal: WaitRefusal) => void;
}
