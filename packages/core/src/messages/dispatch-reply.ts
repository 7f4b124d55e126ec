import type { Refusal } from '../errors/refusal.js';
import type { StreamId } from '../ids/stream-id.js';
import type { HlcTime } from '../time/hlc-time.js';

interface DispatchAnswer {
  type: 'answer';
  status: number;
  headers: Record<string, string>;
  /** Set if the answer can be resumed. */
  streamId?: StreamId;
  /** Set if the answer comes from the record of an earlier run. */
  replayed?: boolean;
  /** Throws a `RelayError` if the answer ends early. */
  body: AsyncIterable<Uint8Array>;
}

interface DispatchRefused {
  type: 'refusal';
  refusal: Refusal;
}

/** An agent's reply to a dispatch. */
export type DispatchReply = (DispatchAnswer | DispatchRefused) & {
  stateVersion: number;
  at: HlcTime;
};
