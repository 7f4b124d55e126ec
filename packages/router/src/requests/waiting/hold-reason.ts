/** Why a request does not take a free place. */
export type HoldReason =
  /** It is kept for more urgent requests. */
  | 'reserved'
  /** It is part of the share of other routers or accounts. */
  | 'share'
  /** The engine's memory has no room for this request. */
  | 'memory';
