import type { EndpointId } from '@vanillarelay/core';

/** What routers know of the request rate that an endpoint accepts, and how many they have for it. */
interface RateReport {
  /** Requests per second from all routers together; absent when the endpoint names no limit now. */
  limitPerS?: number;
  /** Time since the endpoint's last answer that named a limit or none. */
  ageMs: number;
  /** Requests per second that the reporting routers receive for the endpoint's service. */
  demandPerS: number;
}

/** The request rates that endpoints accept. */
export type RateReports = Record<EndpointId, RateReport>;
