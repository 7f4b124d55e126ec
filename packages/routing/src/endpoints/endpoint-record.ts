import type { DataCentreId, EndpointId, ServiceId } from '@vanillarelay/core';

/** The last announcement of an endpoint, as processes exchange it. */
export interface EndpointRecord {
  id: EndpointId;
  /** Start of this incarnation, in milliseconds since the epoch; 0 when it is unknown. */
  bornAt: number;
  /** Increases with each announcement of one incarnation. */
  sequence: number;
  service: ServiceId;
  /** IP and port. */
  address: string;
  dataCentre: DataCentreId;
  slots: number;
  /** Version of the software that it runs; absent when it names none. */
  version?: string;
  state: 'ready' | 'leaving' | 'gone';
  /** Remaining cold time, in milliseconds from when this record was sent. */
  coldLeftMs: number;
  /** Set when its announcements have stopped. */
  isSilent?: boolean;
  /**
   * Set when an endpoint that started later announced the same address. The record is `gone` then,
   * until this endpoint announces itself once more.
   */
  isAddressContested?: boolean;
}
