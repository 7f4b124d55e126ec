import type { RouterContext } from '../router-context.js';

/** Whether requests wait in order of urgency and share. */
export function isScheduled({ features }: Pick<RouterContext, 'features'>): boolean {
  return features.scheduling;
}
