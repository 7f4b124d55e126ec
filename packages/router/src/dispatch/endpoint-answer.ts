import type { IncomingMessage } from 'node:http';

/** The answer that an endpoint sent on the connection of a request. */
export interface EndpointAnswer {
  message: IncomingMessage;
  /** Whether the connection had carried other requests before, whose answers may come late. */
  isConnectionReused: boolean;
}
