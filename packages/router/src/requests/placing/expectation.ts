import type { Finish, WorkRequest } from '@vanillarelay/scheduling';

/** What is expected of a request at the endpoint that was chosen for it. */
export interface Expectation {
  request: WorkRequest;
  finish: Finish;
  /** Whether the endpoint is the home of the prompt. */
  isHome: boolean;
  /** Whether it was chosen instead of the home, so that later requests with the prompt follow it. */
  isMoved: boolean;
}
