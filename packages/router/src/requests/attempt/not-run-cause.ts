/** Why a request certainly did not run at an endpoint. */
export type NotRunCause =
  /** The endpoint left before the request was sent. */
  | 'departed'
  /** The endpoint refused the connection. */
  | 'refused'
  /** The request cannot be sent, whatever the endpoint. */
  | 'invalid'
  /** The connection was not established in time. */
  | 'unreachable'
  /** The address now belongs to another endpoint, which refused the request. */
  | 'replaced'
  /** The endpoint refused the request. */
  | 'rejected';
