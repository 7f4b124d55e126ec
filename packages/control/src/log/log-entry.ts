/** One entry of the replicated log. */
export interface LogEntry {
  term: number;
  index: number;
  /** Median of the voters' wall clocks, in milliseconds since the epoch; never decreases. */
  at: number;
  /** `empty` starts a term, `group` changes the membership of the control group. */
  kind: 'command' | 'group' | 'empty';
  /** JSON, encoded once by the leader, so that every node decodes the same text. */
  data: string;
}
