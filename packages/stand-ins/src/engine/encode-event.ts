/** A server-sent event with a JSON value. */
export function encodeEvent(value: unknown): Uint8Array {
  return Buffer.from(`data: ${JSON.stringify(value)}\n\n`);
}
