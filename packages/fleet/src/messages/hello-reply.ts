import type { Founder } from './founder.js';

/** A daemon's knowledge of the control group. */
export interface HelloReply {
  /** Addresses of the control group's members; empty when none are known. */
  hubs: string[];
  /** Initial members of the group, once they are selected. */
  founders?: Founder[];
}
