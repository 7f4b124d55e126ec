import type { Founder } from './founder.js';

/** What a daemon knows of the control group. */
export interface HelloReply {
  /** Addresses of the control group's members; empty when none are known. */
  hubs: string[];
  /** Who founds the group, once that is decided. */
  founders?: Founder[];
}
