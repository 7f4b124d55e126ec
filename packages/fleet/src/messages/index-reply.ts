/** Index of the newest state, confirmed by a quorum. */
export interface IndexReply {
  index: number;
}
