import type { ServiceConfig } from '@vanillarelay/core';
import type { createEntry } from '@vanillarelay/entry';
import type { FakeEngine } from '@vanillarelay/stand-ins';

type PlacementStrategy = NonNullable<Parameters<typeof createEntry>[0]['place']>;

/** Input of the omniscient policy; the other policies ignore it. */
interface PolicyInput {
  engines: ReadonlyMap<string, FakeEngine>;
  /** Bound on an engine's load as a multiple of the mean. */
  multiple: number;
}

/** A placement policy that the bench compares with others. */
export interface Policy {
  name: string;
  /** Creates the `place` function of the entries; undefined keeps their default. */
  createStrategy: (input: PolicyInput) => PlacementStrategy | undefined;
  /** Load multiple that agents enforce; the multiple of the measurement if absent. */
  loadMultiple?: ServiceConfig['loadMultiple'];
}
