import type { Clock, Random } from '@vanillarelay/core';
import type { ControlNode } from './control-node.js';
import type { ViewStore } from './view-store.js';

interface VersionFetchOptions {
  clock: Clock;
  random: Random;
  controls: readonly ControlNode[];
  store: ViewStore;
  survey: { requestQuorum: (node: ControlNode) => Promise<unknown> };
}

/** The hub usually sends the change within this time, as a patch. */
const pushGraceMs = 100;
const retryDelayMs = 100;
const fetchLimitMs = 1_000;

/** Makes the function that fetches a state version seen in a message; one fetch runs at a time. */
export function createVersionFetch(options: VersionFetchOptions) {
  const { clock, random, controls, store, survey } = options;
  let wanted = 0;
  let fetching: Promise<void> | undefined;

  const run = async (): Promise<void> => {
    const endsAt = clock.monotonic() + fetchLimitMs;
    await clock.wait(pushGraceMs);
    let index = Math.floor(random() * controls.length);
    while (store.readVersion() < wanted && clock.monotonic() < endsAt) {
      const node = controls[index % controls.length];
      index += 1;
      if (node) await survey.requestQuorum(node);
      if (store.readVersion() < wanted) await clock.wait(retryDelayMs);
    }
  };

  return async (version: number): Promise<boolean> => {
    if (store.readVersion() >= version) return true;
    wanted = version;
    fetching ??= run().finally(() => {
      fetching = undefined;
    });
    await fetching;
    return store.readVersion() >= version;
  };
}
