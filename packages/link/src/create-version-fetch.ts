import type { Clock, Random } from '@vanillarelay/core';
import type { ControlNode } from './control-node.js';
import type { ViewStore } from './view-store.js';

interface VersionFetchOptions {
  clock: Clock;
  random: Random;
  controls: readonly ControlNode[];
  store: ViewStore;
  probe: { requestQuorum: (node: ControlNode) => Promise<unknown> };
}

/** Delay before a fetch; the hub usually sends the new version as a patch within this time. */
const fetchDelayMs = 100;
const retryDelayMs = 100;
const fetchLimitMs = 1_000;

/** Creates a function that fetches a state version named in a message; one fetch runs at a time. */
export function createVersionFetch(options: VersionFetchOptions) {
  const { clock, random, controls, store, probe } = options;
  let targetVersion = 0;
  let fetching: Promise<void> | undefined;

  const run = async (): Promise<void> => {
    const endsAt = clock.monotonic() + fetchLimitMs;
    await clock.wait(fetchDelayMs);
    let index = Math.floor(random() * controls.length);
    while (store.readVersion() < targetVersion && clock.monotonic() < endsAt) {
      const node = controls[index % controls.length];
      index += 1;
      if (node) await probe.requestQuorum(node);
      if (store.readVersion() < targetVersion) await clock.wait(retryDelayMs);
    }
  };

  return async (version: number): Promise<boolean> => {
    if (store.readVersion() >= version) return true;
    targetVersion = version;
    fetching ??= run().finally(() => {
      fetching = undefined;
    });
    await fetching;
    return store.readVersion() >= version;
  };
}
