/**
 * A mechanism that a scenario can run without, to show that the scenario fails then. The product has
 * no such switch: the in-process fleet replaces what it passes in.
 */
export type Mechanism =
  | 'claims'
  | 'voids'
  | 'takeOut'
  | 'contact'
  | 'sync'
  | 'loadBound'
  | 'coldLimit'
  | 'drain'
  | 'draining'
  | 'streamEnd'
  | 'marks';
