import type { RequestFacts } from '../../wire/request-facts.js';

/**
 * Builds a key for the prefix of a prompt that later requests share: all but the last part, which
 * belongs to the request itself. A prompt of one part is its own key.
 */
export function buildAffinityKey({ promptParts, model }: RequestFacts): string | undefined {
  const shared = promptParts.length > 1 ? promptParts.at(-2) : promptParts[0];
  return shared && `${model ?? ''} ${shared.id}`;
}
