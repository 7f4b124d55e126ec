/** Checks the framing of one answer as its bytes arrive. */
export interface FramingCheck {
  /** Takes the next bytes; returns what is wrong with them, or undefined. */
  push(bytes: Buffer): string | undefined;
  /** Whether the final head has ended. */
  hasHead(): boolean;
  /** Whether nothing is left to check: the rest of the answer is its body, or it has ended. */
  isDone(): boolean;
}
