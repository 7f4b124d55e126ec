/** The memory that a process may hold for one purpose. */
export interface MemoryPart {
  /** Takes bytes if they fit. */
  take(bytes: number): boolean;
  /** Takes bytes as soon as they fit, in the order of the calls; `false` when the signal aborts. */
  waitToTake(bytes: number, signal: AbortSignal): Promise<boolean>;
  release(bytes: number): void;
  readHeldBytes(): number;
}
