import type { Step } from '../step.js';

/** `wait MS`: lets virtual time pass. */
export const wait: Step = ({ context }, [ms]) => context.virtual.clock.wait(Number(ms));
