/** What became of a request at one endpoint. */
export type AttemptOutcome =
  /** The caller has the whole answer. */
  | { type: 'answered'; status: number }
  /** It is certain that the request did not run there. */
  | { type: 'notRun'; reason: string; isUnreachable: boolean; isReplaced?: boolean }
  /** It may have run; nothing of an answer was passed on. */
  | { type: 'failed'; reason: string; isSilent: boolean; status?: number }
  /** The stream broke after events were passed on. */
  | { type: 'broken'; reason: string }
  /** The caller left, or the time was over. */
  | { type: 'cancelled' };
