/** An endpoint's answer; the body throws when the connection breaks. */
export interface EndpointAnswer {
  status: number;
  headers: Record<string, string>;
  body: AsyncIterable<Uint8Array>;
}
