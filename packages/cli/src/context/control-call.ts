/** A call of the control API of a router daemon. */
export interface ControlCall {
  method: 'GET' | 'POST';
  path: string;
  body?: string;
}
