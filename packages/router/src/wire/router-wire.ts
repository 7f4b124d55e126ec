import type { IncomingHttpHeaders } from 'node:http';
import type { AnswerFacts } from './answer-facts.js';
import type { EventField } from './event-field.js';
import type { ForwardingInfo } from './forwarding-info.js';
import type { ParsedEvent } from './parsed-event.js';
import type { RequestFacts } from './request-facts.js';
import type { RequestHead } from './request-head.js';

/** Translates between HTTP heads and router data; each deployment defines its own header names. */
export interface RouterWire {
  /** Throws `malformedRequest` when the head is not valid. */
  parseRequest(head: RequestHead): RequestFacts;
  /** Builds the headers for the endpoint; names and values alternate. */
  buildHeaders(facts: RequestFacts, info: ForwardingInfo): string[];
  parseAnswer(status: number, headers: IncomingHttpHeaders): AnswerFacts;
  /**
   * Decides whether the fields are the event of a stream that follows the one with `lastEventId`,
   * which is undefined at the start. Nothing else of the stream is relayed to the caller.
   */
  parseEvent(fields: readonly EventField[], lastEventId: string | undefined): ParsedEvent;
}
