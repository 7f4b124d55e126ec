import type { StreamId } from '../ids/stream-id.js';
import type { ContactReport } from '../messages/contact-report.js';
import type { DispatchReply } from '../messages/dispatch-reply.js';
import type { DispatchRequest } from '../messages/dispatch-request.js';
import type { PlacementUpdate } from '../messages/placement-update.js';

/** The calls that entries and other agents make to an agent. */
export interface AgentClient {
  /**
   * Rejects with `connectionFailed` and `notRun: true` if no byte can have reached the agent. After
   * any other rejection it is unknown whether the request has run.
   */
  dispatch(request: DispatchRequest, signal: AbortSignal): Promise<DispatchReply>;
  /** Returns the rest of a resumable answer after event number `after`. */
  resume(streamId: StreamId, after: number, signal: AbortSignal): Promise<DispatchReply>;
  cancel(streamId: StreamId): Promise<void>;
  announcePlacement(update: PlacementUpdate): Promise<void>;
  readContact(stateVersion: number, signal: AbortSignal): Promise<ContactReport>;
}
