import type { Clock } from '@vanillarelay/core';

/** One process on the virtual clock; it can be frozen and killed. */
export interface VirtualProcess {
  id: string;
  /** Timers of this clock stop while the process is frozen and for ever once it is killed. */
  clock: Clock;
  isAlive(): boolean;
  /** Resolves when the process is not frozen; never once it is killed. */
  waitUntilRunning(): Promise<void>;
  freeze(): void;
  resume(): void;
  kill(): void;
  /** Calls back when the process is killed; returns a function that removes the listener. */
  observeKill(listener: () => void): () => void;
}
