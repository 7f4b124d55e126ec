import type { AccountId } from '../ids/account-id.js';
import type { DaemonId } from '../ids/daemon-id.js';
import type { DataCentreId } from '../ids/data-centre-id.js';
import type { ServiceId } from '../ids/service-id.js';
import type { VmId } from '../ids/vm-id.js';
import type { HlcTime } from '../time/hlc-time.js';
import type { Announcement } from './announcement.js';
import type { Contact } from './contact.js';

/** What a daemon tells the hub in each exchange. */
export interface Report {
  daemon: DaemonId;
  role: 'entry' | 'agent';
  vm: VmId;
  dataCentre: DataCentreId;
  /** How the daemon stands to control, for the operators' list. */
  contact: Contact;
  /** IP and port at which the daemon answers operators. */
  address: string;
  incarnation: number;
  /** Version of the state in force at the daemon; 0 before the first. */
  stateVersion: number;
  /** Cursor of the last frame from this hub; empty for the whole membership. */
  cursor: string;
  /** Services whose members the daemon needs; absent means all. */
  services?: ServiceId[];
  /** Set by agents. */
  announcement?: Announcement;
  /** Requests by account since the last report; set by entries. */
  usage?: Record<AccountId, number>;
  at: HlcTime;
}
