/** Why a request certainly did not run at an endpoint. */
export type NotRunCause =
  /** The endpoint left before the request was sent. */
  | 'departed'
  /** No connection could be established. */
  | 'unreachable'
  /** The address now belongs to another endpoint, which refused the request. */
  | 'replaced'
  /** The endpoint refused the request. */
  | 'rejected';
