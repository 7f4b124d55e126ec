/** Byte offsets of a frame's header; the header has a checksum of its own, so its length is safe. */
export const frameLayout = {
  length: 0,
  kind: 4,
  term: 8,
  index: 16,
  payloadCrc: 24,
  headerCrc: 28,
  headerBytes: 32,
} as const;
