import type { DispatchReply, Refusal } from '@vanillarelay/core';
import type { InFlightCall } from './in-flight-call.js';

/** The outcome of one attempt. */
export type DispatchOutcome =
  | { type: 'answer'; reply: Extract<DispatchReply, { type: 'answer' }>; call: InFlightCall }
  | {
      type: 'refusal';
      refusal: Refusal;
      /** Whether this entry lost contact with the agent; the refusal is then built by the entry. */
      isContactLost: boolean;
    };
