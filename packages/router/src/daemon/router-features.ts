/** Optional parts of a router, which the terms of a deployment switch on. */
export interface RouterFeatures {
  /**
   * Whether requests wait in order of urgency and share, engines' memory bounds what is sent, and a
   * late router takes itself out.
   */
  scheduling: boolean;
}
