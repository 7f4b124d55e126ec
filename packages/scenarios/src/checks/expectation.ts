import type { World } from '../language/world.js';

/** A check of the scenario language; returns a description of each violation. */
export type Expectation = (world: World, args: string[]) => Promise<string[]> | string[];
