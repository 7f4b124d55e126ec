/** A request as an endpoint gets it. */
export interface EndpointRequest {
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
}
