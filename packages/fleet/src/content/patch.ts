import type { PatchSpan } from './patch-span.js';

/** How to build a text from another one, the base. */
export interface Patch {
  /** The stretches of the result, in order. */
  spans: PatchSpan[];
  /** The stretches that are not copied from the base, joined. */
  text: string;
}
