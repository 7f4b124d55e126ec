/** A request as it is sent to an endpoint. */
export interface EndpointRequest {
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
}
