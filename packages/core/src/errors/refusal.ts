import type { EndpointId } from '../ids/endpoint-id.js';
import type { ResultCode } from './result-code.js';

/** Why a request was not answered, in the form that is sent between processes. */
export interface Refusal {
  code: ResultCode;
  message: string;
  /** True only if it is certain that the request has not run and this attempt never will. */
  notRun: boolean;
  /** Delay before a retry can succeed, in milliseconds. */
  retryAfterMs?: number;
  /** The endpoint that holds the chat, if another endpoint does. */
  holder?: EndpointId;
  /** Id of the leader, if another control node leads. */
  leader?: string;
}
