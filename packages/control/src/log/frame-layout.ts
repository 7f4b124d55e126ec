/**
 * Byte offsets of the fields in a frame's header, and the header's size. A frame is one checksummed
 * record in a file. `headerCrc` covers the header's fields before it, so that a damaged length is
 * never trusted.
 */
export const frameLayout = {
  length: 0,
  kind: 4,
  term: 8,
  index: 16,
  payloadCrc: 24,
  headerCrc: 28,
  headerBytes: 32,
} as const;
