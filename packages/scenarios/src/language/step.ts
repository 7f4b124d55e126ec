import type { World } from './world.js';

/** Runs one line of a scenario; the arguments are the words after the verb. */
export type Step = (world: World, args: string[]) => Promise<void>;
