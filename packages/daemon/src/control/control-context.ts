/** Context of a call to a control node: the client's role. */
export interface ControlContext {
  role: 'peer' | 'operator';
}
