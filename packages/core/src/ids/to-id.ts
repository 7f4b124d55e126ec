import type { Id } from './id.js';

/** Casts text to an id type; the text must already be checked. */
export function toId<T extends Id<string>>(text: string): T {
  return text as T;
}
