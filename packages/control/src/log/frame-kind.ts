/** Kinds of frames in the files of the data folder. */
export const FrameKind = {
  header: 1,
  hardState: 2,
  command: 3,
  group: 4,
  empty: 5,
  snapshotHead: 6,
  snapshotPart: 7,
  snapshotEnd: 8,
  identity: 9,
} as const;
