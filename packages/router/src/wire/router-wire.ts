import type { IncomingHttpHeaders } from 'node:http';
import type { AnswerFacts } from './answer-facts.js';
import type { Grant } from './grant.js';
import type { RequestFacts } from './request-facts.js';
import type { RequestHead } from './request-head.js';

/** How requests look towards callers and endpoints; one deployment's header names are behind it. */
export interface RouterWire {
  /** Throws `malformedRequest` when the head makes no sense. */
  parseRequest(head: RequestHead): RequestFacts;
  /** Headers for the endpoint, names and values by turns. */
  buildHeaders(facts: RequestFacts, grant: Grant): string[];
  parseAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
}
