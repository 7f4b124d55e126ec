/** Who is calling a control node. */
export interface ControlContext {
  role: 'peer' | 'operator';
}
