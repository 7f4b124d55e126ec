import type { AccountId } from '../ids/account-id.js';
import type { DaemonId } from '../ids/daemon-id.js';
import type { DataCentreId } from '../ids/data-centre-id.js';
import type { ServiceId } from '../ids/service-id.js';
import type { VmId } from '../ids/vm-id.js';
import type { HlcTime } from '../time/hlc-time.js';
import type { Announcement } from './announcement.js';
import type { Contact } from './contact.js';

/** The report that a daemon sends to its hub in each exchange. */
export interface Report {
  daemon: DaemonId;
  role: 'entry' | 'agent';
  vm: VmId;
  dataCentre: DataCentreId;
  /** The daemon's contact with control, shown in the operators' list of daemons. */
  contact: Contact;
  /** IP and port at which operators reach the daemon. */
  address: string;
  incarnation: number;
  /** Version of the state that the daemon uses; 0 before it has one. */
  stateVersion: number;
  /** Cursor of the last frame from this hub; empty to request the complete membership. */
  cursor: string;
  /** Services whose members the daemon needs; all if absent. */
  services?: ServiceId[];
  /** Set by agents. */
  announcement?: Announcement;
  /** Number of requests by account since the last report; set by entries. */
  usage?: Record<AccountId, number>;
  at: HlcTime;
}
