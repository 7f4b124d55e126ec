import type { DispatchReply, Refusal } from '@vanillarelay/core';
import type { Flight } from './flight.js';

/** What became of one attempt. */
export type Dispatched =
  | { type: 'answer'; reply: Extract<DispatchReply, { type: 'answer' }>; flight: Flight }
  | {
      type: 'refusal';
      refusal: Refusal;
      /** Whether it is this entry's conclusion from lost contact, not the agent's word. */
      isContactLost: boolean;
    };
