/** Byte offsets in a frame's header, whose own checksum protects the length field. */
export const frameLayout = {
  length: 0,
  kind: 4,
  term: 8,
  index: 16,
  payloadCrc: 24,
  headerCrc: 28,
  headerBytes: 32,
} as const;
