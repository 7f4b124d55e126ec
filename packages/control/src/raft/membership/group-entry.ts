import type { Group } from './group.js';

/** A membership at its index in the log. */
export interface GroupEntry {
  index: number;
  group: Group;
}
