/** How an operator's call ended. */
export interface OrderResult {
  status: number;
  /** Why the call was not carried out. */
  reason?: string;
  /** Whether the caller had closed the connection before the answer. */
  hasLeft: boolean;
}
