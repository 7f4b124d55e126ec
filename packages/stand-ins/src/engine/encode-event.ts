/** Encodes a JSON value as a server-sent event. */
export function encodeEvent(value: unknown): Uint8Array {
  return Buffer.from(`data: ${JSON.stringify(value)}\n\n`);
}
