import type { ServiceConfig } from '@vanillarelay/core';
import type { createEntry } from '@vanillarelay/entry';
import type { FakeEngine } from '@vanillarelay/stand-ins';

type PlacementStrategy = NonNullable<Parameters<typeof createEntry>[0]['place']>;

/** What the omniscient policy reads; the others ignore it. */
interface PolicyInput {
  engines: ReadonlyMap<string, FakeEngine>;
  multiple: number;
}

/** A way to choose endpoints, which the bench compares with others. */
export interface Policy {
  name: string;
  /** Creates the `place` function of the entries; undefined keeps their default. */
  createStrategy: (input: PolicyInput) => PlacementStrategy | undefined;
  /** The load multiple that agents enforce; absent means the one under test. */
  loadMultiple?: ServiceConfig['loadMultiple'];
}
