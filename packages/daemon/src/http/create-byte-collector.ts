const emptyBytes = Buffer.alloc(0);

/**
 * Creates a collector of the pieces of a body. It copies them into one buffer: a piece of one byte
 * costs an object of more than a hundred.
 */
export function createByteCollector() {
  let buffer: Buffer = emptyBytes;
  let size = 0;

  /** Makes room for a body of this size. */
  const addRoom = (capacityBytes: number): void => {
    if (capacityBytes <= buffer.length) return;
    const next = Buffer.allocUnsafeSlow(capacityBytes);
    buffer.copy(next, 0, 0, size);
    buffer = next;
  };

  return {
    addRoom,
    append: (piece: Buffer): void => {
      if (size === 0 && buffer.length === 0) {
        buffer = piece;
      } else {
        if (size + piece.length > buffer.length)
          addRoom(Math.max(size + piece.length, buffer.length * 2));
        piece.copy(buffer, size);
      }
      size += piece.length;
    },
    countBytes: (): number => size,
    /** Removes and returns what was collected. */
    take: (): Buffer => {
      const bytes = buffer.subarray(0, size);
      buffer = emptyBytes;
      size = 0;
      return bytes;
    },
  };
}
