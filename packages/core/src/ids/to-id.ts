import type { Id } from './id.js';

/** Brands checked text as an id. */
export function toId<T extends Id<string>>(text: string): T {
  return text as T;
}
