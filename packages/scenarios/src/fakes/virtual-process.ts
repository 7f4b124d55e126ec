import type { Clock } from '@vanillarelay/core';

/** A process on the virtual clock that tests can freeze and kill. */
export interface VirtualProcess {
  id: string;
  /** Timers that fall due while the process is frozen fire on resume; after a kill none fires. */
  clock: Clock;
  isAlive(): boolean;
  /** Resolves when the process is not frozen; never settles once it is killed. */
  waitUntilRunning(): Promise<void>;
  freeze(): void;
  resume(): void;
  kill(): void;
  /** Calls the listener when the process is killed; returns a function that removes it. */
  observeKill(listener: () => void): () => void;
}
