import type { ServiceConfig } from '@vanillarelay/core';
import type { createEntry } from '@vanillarelay/entry';
import type { FakeEngine } from '@vanillarelay/stand-ins';

type Place = NonNullable<Parameters<typeof createEntry>[0]['place']>;

/** What an omniscient policy sees. */
interface PolicyInput {
  engines: ReadonlyMap<string, FakeEngine>;
  multiple: number;
}

/** A way to choose endpoints, to be compared in one run. */
export interface Policy {
  name: string;
  createPlace: (input: PolicyInput) => Place | undefined;
  /** The load multiple that agents enforce; absent means the one under test. */
  loadMultiple?: ServiceConfig['loadMultiple'];
}
