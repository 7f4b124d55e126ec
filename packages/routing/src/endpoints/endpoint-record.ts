import type { DataCentreId, EndpointId, ServiceId } from '@vanillarelay/core';

/** What an endpoint said of itself last, as the processes pass it on to each other. */
export interface EndpointRecord {
  id: EndpointId;
  /** Start of this incarnation, in milliseconds since the epoch; 0 when it was not told. */
  bornAt: number;
  /** Grows with each announcement of one incarnation. */
  sequence: number;
  service: ServiceId;
  /** IP and port. */
  address: string;
  dataCentre: DataCentreId;
  slots: number;
  state: 'ready' | 'leaving' | 'gone';
  /** How long it stays cold, in milliseconds from when this record was handed over. */
  coldLeftMs: number;
  /** Set when its announcements have stopped. */
  isSilent?: boolean;
}
