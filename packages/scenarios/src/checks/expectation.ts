import type { World } from '../language/world.js';

/** Checks what a scenario expects; returns the faults in words. */
export type Expectation = (world: World, args: string[]) => Promise<string[]> | string[];
