/** A stretch of a patched text, in characters. */
export interface PatchSpan {
  length: number;
  /** Position in the base to copy from; absent if the stretch is taken from the patch's text. */
  from?: number;
}
