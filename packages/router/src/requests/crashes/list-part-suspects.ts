import { toId, type SuspectId } from '@vanillarelay/core';
import type { RequestFacts } from '../../wire/request-facts.js';

/**
 * Lists the parts of a prompt that may crash endpoints: all but the last one, which no other request
 * has and which the content of the request covers.
 */
export function listPartSuspects({ promptParts, model }: RequestFacts): SuspectId[] {
  return promptParts.slice(0, -1).map(({ id }) => toId<SuspectId>(`${model ?? ''} ${id}`));
}
