import type { Founder } from './founder.js';

/** The members of the control group, as far as a daemon knows them. */
export interface HelloReply {
  /** Addresses of the control group's members; empty when none are known. */
  hubs: string[];
  /** Initial members of the group, once they are selected. */
  founders?: Founder[];
}
