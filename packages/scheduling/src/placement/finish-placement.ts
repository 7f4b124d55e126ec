import type { EndpointId } from '@vanillarelay/core';

/** The endpoint for a request. */
export interface FinishPlacement {
  id: EndpointId;
  /**
   * Why this endpoint was chosen, for the log: `kept` where this router sent the prompt before,
   * `firstRead` because no endpoint holds the prompt yet, `sooner` instead of the home for a clear
   * gain, `leastFinish` for a request without a prompt; the others as before.
   */
  reason:
    | 'home'
    | 'nextHome'
    | 'kept'
    | 'firstRead'
    | 'sooner'
    | 'leastFinish'
    | 'leastLoaded'
    | 'doubted';
  /** Whether the endpoint is the first of the prompt's order. */
  isHome: boolean;
}
