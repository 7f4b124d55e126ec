import type { EndpointId } from '../ids/endpoint-id.js';
import type { ResultCode } from './result-code.js';

/** Why a request was not answered, as it travels between processes. */
export interface Refusal {
  code: ResultCode;
  message: string;
  /** True only when it is certain that the request has not run and this attempt never will. */
  notRun: boolean;
  /** When a further try makes sense, in milliseconds from now. */
  retryAfterMs?: number;
  /** The endpoint that holds the chat, when another one does. */
  holder?: EndpointId;
  /** Id of the control node that leads, when another one does. */
  leader?: string;
}
