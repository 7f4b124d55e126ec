import type { IncomingHttpHeaders } from 'node:http';
import type { AnswerFacts } from './answer-facts.js';
import type { ForwardingInfo } from './forwarding-info.js';
import type { RequestFacts } from './request-facts.js';
import type { RequestHead } from './request-head.js';

/** Translates between HTTP heads and router data; each deployment defines its own header names. */
export interface RouterWire {
  /** Throws `malformedRequest` when the head is not valid. */
  parseRequest(head: RequestHead): RequestFacts;
  /** Builds the headers for the endpoint; names and values alternate. */
  buildHeaders(facts: RequestFacts, info: ForwardingInfo): string[];
  parseAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
}
