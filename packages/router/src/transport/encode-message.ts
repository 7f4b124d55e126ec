import { deflateRawSync } from 'node:zlib';

interface EncodedMessage {
  payload: Buffer;
  headers: Record<string, string | number>;
}

/** Size from which a message is compressed; smaller ones gain less than they cost. */
const minCompressedBytes = 4 * 1024;
const fastestLevel = 1;

/** Encodes a message to another daemon as JSON; large messages are compressed. */
export function encodeMessage(message: unknown): EncodedMessage {
  const json = Buffer.from(JSON.stringify(message));
  const isCompressed = json.length >= minCompressedBytes;
  const payload = isCompressed ? deflateRawSync(json, { level: fastestLevel }) : json;
  const headers = { 'content-type': 'application/json', 'content-length': payload.length };
  return {
    payload,
    headers: isCompressed ? { ...headers, 'content-encoding': 'deflate' } : headers,
  };
}
