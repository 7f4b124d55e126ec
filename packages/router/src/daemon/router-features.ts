/** Optional parts of a router, which the terms of a deployment switch on. */
export interface RouterFeatures {
  /** Whether requests wait in order of urgency and share, and engines' memory bounds what is sent. */
  scheduling: boolean;
}
